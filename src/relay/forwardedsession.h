// What a proxy knows of a session that it passes on, so that it can go on with it when the other proxy is lost.
#pragma once

#include "relay/callersession.h"
#include "relay/message.h"

#include <optional>
#include <utility>

namespace cardamomstep::relay {

/// Follows a session from the statements that pass and the answers that come back.
///
/// Invariant: while known(), session() is in the state that the other proxy's is in, the statement under way aside.
class ForwardedSession
{
public:
    explicit ForwardedSession(DatabaseName database)
        : session_(std::move(database))
    {
    }

    /// Takes in a statement that is passed on.
    void sent(const SessionStatement &statement);

    /// Takes in that a part of the answer was passed back.
    void partPassed() noexcept
    {
        partPassed_ = true;
    }

    /// Takes in the end of the answer.
    void answered(bool success, SessionState state, const std::optional<LogPosition> &position);

    /// True when the session can go on elsewhere: its state is certain and the caller holds no part of an answer.
    [[nodiscard]] bool known() const noexcept
    {
        return known_ && !partPassed_;
    }

    /// Takes in that the other proxy is lost while a statement is under way.
    ///
    /// Returns what the caller is told; nothing when the statement may run again here.
    [[nodiscard]] std::optional<CallerReply> lost();

    [[nodiscard]] const CallerSession &session() const noexcept
    {
        return session_;
    }

    /// The statement that was passed on last.
    [[nodiscard]] const SessionStatement &statement() const noexcept
    {
        return statement_;
    }

private:
    [[nodiscard]] bool lasting() const;

    CallerSession session_;
    SessionStatement statement_;
    StatementNeed need_ = StatementNeed::Answered;
    /// The answer where the session needs no member for it.
    CallerReply reply_;
    bool known_ = true;
    bool partPassed_ = false;
};

} // namespace cardamomstep::relay
