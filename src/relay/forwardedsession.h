// The state of a session that is forwarded to another proxy, so that it can be resumed locally if that proxy is lost.
#pragma once

#include "relay/callersession.h"
#include "relay/message.h"

#include <optional>
#include <utility>

namespace cardamomstep::relay {

/// Tracks a forwarded session's state from its statements and their answers.
///
/// Invariant: while isResumable(), session() has the same state as at the other proxy, apart from the statement in progress.
class ForwardedSession
{
public:
    explicit ForwardedSession(DatabaseName database, customers::CallerIdentity identity = {})
        : session_(std::move(database), std::move(identity))
    {
    }

    /// Records a statement that is forwarded.
    void onStatement(const SessionStatement &statement);

    /// Records that a part of the answer was returned to the caller.
    void onPartialAnswer() noexcept
    {
        partialAnswerSent_ = true;
    }

    /// Records the end of the answer.
    void onAnswer(bool success, SessionState state, const std::optional<LogPosition> &position);

    /// Returns true if the session can be resumed locally: its state is certain and the caller has received no partial answer.
    [[nodiscard]] bool isResumable() const noexcept
    {
        return stateCertain_ && !partialAnswerSent_;
    }

    /// Handles the loss of the other proxy while a statement is in progress.
    ///
    /// Returns the answer for the caller; nothing if the statement may be run again locally.
    [[nodiscard]] std::optional<CallerReply> onProxyLost();

    [[nodiscard]] const CallerSession &session() const noexcept
    {
        return session_;
    }

    /// Returns the statement that was forwarded last.
    [[nodiscard]] const SessionStatement &statement() const noexcept
    {
        return statement_;
    }

private:
    [[nodiscard]] bool hasDurableEffect() const;

    CallerSession session_;
    SessionStatement statement_;
    StatementDisposition disposition_ = StatementDisposition::AnsweredLocally;
    /// The answer to a statement that needs no member.
    CallerReply reply_;
    bool stateCertain_ = true;
    bool partialAnswerSent_ = false;
};

} // namespace cardamomstep::relay
