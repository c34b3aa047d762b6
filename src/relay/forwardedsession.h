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
    void onStatement(const SessionStatement &statement);

    /// Takes in that a part of the answer was passed back.
    void onPartialAnswer() noexcept
    {
        partialAnswerSent_ = true;
    }

    /// Takes in the end of the answer.
    void onAnswer(bool success, SessionState state, const std::optional<LogPosition> &position);

    /// True when the session can go on elsewhere: its state is certain and the caller holds no part of an answer.
    [[nodiscard]] bool isResumable() const noexcept
    {
        return stateCertain_ && !partialAnswerSent_;
    }

    /// Takes in that the other proxy is lost while a statement is under way.
    ///
    /// Returns what the caller is told; nothing when the statement may run again here.
    [[nodiscard]] std::optional<CallerReply> onProxyLost();

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
    [[nodiscard]] bool hasDurableEffect() const;

    CallerSession session_;
    SessionStatement statement_;
    StatementDisposition disposition_ = StatementDisposition::AnsweredLocally;
    /// The answer where the session needs no member for it.
    CallerReply reply_;
    bool stateCertain_ = true;
    bool partialAnswerSent_ = false;
};

} // namespace cardamomstep::relay
