// Whether a caller's session is idle, and whether its next statement is expected at once.
#pragma once

#include "base/time.h"
#include "relay/callersession.h"

namespace cardamomstep::gateway {

/// Tracks one session between its statements.
class SessionActivity
{
public:
    /// Time that an ending session stays open after its setup, because the statement that needs the setup usually follows at once.
    static constexpr Milliseconds setupIdleTimeout{400};

    /// Records a line that is to be answered.
    void onLine() noexcept
    {
        replyPending_ = true;
    }

    /// Records a line with \a statement, which is null if the line is malformed.
    void onStatement(const relay::SessionStatement *statement) noexcept
    {
        replyPending_ = true;
        inSetup_ = statement != nullptr && relay::isSessionSetup(statement->kind);
    }

    /// Records that the session was opened: its first statement is expected, as after the session's setup.
    void onOpened(TimePoint now) noexcept
    {
        inSetup_ = true;
        onAnswered(relay::SessionState::Idle, now);
    }

    /// Records that the last line was answered.
    void onAnswered(relay::SessionState state, TimePoint now) noexcept
    {
        replyPending_ = false;
        state_ = state;
        answeredAt_ = now;
    }

    [[nodiscard]] bool replyPending() const noexcept
    {
        return replyPending_;
    }

    /// Returns true between two statements outside a transaction.
    [[nodiscard]] bool isIdle() const noexcept
    {
        return !replyPending_ && state_ == relay::SessionState::Idle;
    }

    /// Returns true if a transaction was open, or failed and not yet ended, as of the last complete answer.
    [[nodiscard]] bool inTransaction() const noexcept
    {
        return state_ != relay::SessionState::Idle;
    }

    /// Returns true if the last statement only set the session up; the statement that needs it is expected next.
    [[nodiscard]] bool inSetup() const noexcept
    {
        return inSetup_;
    }

    /// Returns how much longer the statement after the setup is expected; 0 if none is.
    [[nodiscard]] Microseconds expectsStatementFor(TimePoint now) const noexcept
    {
        const Microseconds left = answeredAt_ + setupIdleTimeout - now;
        return inSetup_ && left > Microseconds{0} ? left : Microseconds{0};
    }

private:
    /// A line of the caller has no complete reply yet.
    bool replyPending_ = false;
    bool inSetup_ = false;
    /// The state as of the last complete answer.
    relay::SessionState state_ = relay::SessionState::Idle;
    /// When the session was opened, or its last statement answered.
    TimePoint answeredAt_;
};

} // namespace cardamomstep::gateway
