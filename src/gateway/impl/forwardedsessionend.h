// How forwarded sessions end: without their key or without their proxy. Part of callerconnection.h, which includes it.
#pragma once

#include "gateway/callerconnection.h"

namespace cardamomstep::gateway {

template<relay::WireCodec Wire>
bool CallerConnection<Wire>::endIfKeyWithdrawn()
{
    if (!forwarded() || ending_) {
        return false;
    }
    ending_ = identityFault();
    if (ending_ && !activity_.replyPending()) {
        endWithdrawnSession();
    }
    return ending_.has_value();
}

/// Ends a forwarded session whose key was withdrawn and that has no answer in progress.
template<relay::WireCodec Wire>
void CallerConnection<Wire>::endWithdrawnSession()
{
    /// Time for which the session waits for a statement, to report that its transaction was rolled back.
    constexpr Milliseconds idleTimeout{3000};
    if (!activity_.inTransaction()) {
        finish();
        return;
    }
    dropUpstream();
    startTimer(timer_, idleTimeout, &CallerConnection::finish);
    connection_->resume();
}

/// Answers a line of a session whose key was withdrawn, unless it \a endsSession, and closes the connection.
template<relay::WireCodec Wire>
void CallerConnection<Wire>::refuseWithdrawn(bool endsSession)
{
    if (!endsSession) {
        relay::CallerReply reply;
        reply.error = activity_.inTransaction()
            ? Error{ErrorKind::TransactionAborted, "the key was withdrawn; the transaction is rolled back"}
            : *ending_;
        reply.state = activity_.inTransaction() ? relay::SessionState::Failed : relay::SessionState::Idle;
        sendReply(reply);
    }
    finish();
}

/// Handles the loss of the proxy that serves the session: it closed the connection, is unreachable or did not reply in time.
template<relay::WireCodec Wire>
void CallerConnection<Wire>::onUpstreamLost()
{
    if (!activity_.replyPending()) {
        finish();
        return;
    }
    handlers_.forwardFailed(upstream_->proxy());
    resumeLocally();
}

/// Answers the statement whose reply was lost, or executes it again locally, and serves the session locally from now on.
///
/// Ends the session when it cannot be resumed, when its key was withdrawn or when the engine refuses it.
template<relay::WireCodec Wire>
void CallerConnection<Wire>::resumeLocally()
{
    const auto lost = upstream_;
    dropUpstream();
    auto &session = lost->session();
    if (!session.isResumable()) {
        finish();
        return;
    }
    auto answer = session.onProxyLost();
    if (!ending_) {
        ending_ = identityFault();
    }
    if (ending_) {
        if (!answer || !answer->error) {
            answer = relay::CallerReply{};
            answer->error = *ending_;
        }
        sendReply(*answer);
        finish();
        return;
    }
    const bool adopted = handlers_.adopted(session.session());
    if (answer) {
        reply(*answer);
    }
    if (!adopted) {
        finish();
    } else if (!answer) {
        handlers_.statement(session.statement());
    }
}

} // namespace cardamomstep::gateway
