// Shared by the flows of single requests: sending one call, mapping refusals to errors, and updating the session token.
#pragma once

#include "owner/impl/groupcore.h"
#include "sessions/token.h"
#include "statements/statement.h"

#include <mutex>

namespace cardamomstep::impl {

/// The operation of a write whose only effect is that the log contains its request id; see docs/design/member.md.
inline constexpr const char *closeIdOperation = "none";

/// The retry-after of answers when no better estimate is known.
inline constexpr Milliseconds defaultRetryAfter{100};

/// Returns the call that sends \a statement to a member.
[[nodiscard]] MemberCall callFor(GroupCore &core, const Statement &statement, const Term &term);

/// Returns the caller's error for a member's refusal; the refused call had no effect.
[[nodiscard]] Error errorFor(Refusal refusal, const std::string &description);

/// Returns the time that an exchange may take: until the connection counts as silent, at most until \a deadline.
[[nodiscard]] Milliseconds exchangeTimeout(const MemberConnections &connections, TimePoint deadline);

/// Sends one call with \a send(connection, timeout) on \a checkout; \a lock is released during the exchange.
///
/// Feeds the member's state in the reply to the monitor, the trackers and the router. Does not release \a checkout.
template<typename Send>
[[nodiscard]] ConnectionResult<MemberReply> exchange(GroupCore &core,
                                                     std::unique_lock<std::mutex> &lock,
                                                     const MemberName &name,
                                                     const MemberConnections::CheckedOutConnection &checkout,
                                                     TimePoint deadline,
                                                     Send send)
{
    auto *member = core.find(name);
    if (member == nullptr) {
        return ConnectionFailure{ConnectionFault::Closed, true, "the member was removed"};
    }
    const auto sentAt = steadyNow();
    const auto timeout = exchangeTimeout(member->connections, deadline);
    member->connections.onExchangeStarted(checkout.key, sentAt);
    core.router.setLoad(name, member->connections.inUse(), core.options.slots);
    lock.unlock();
    auto result = send(*checkout.connection, timeout);
    lock.lock();
    member = core.find(name);
    const auto *reply = std::get_if<MemberReply>(&result);
    if (member == nullptr || reply == nullptr) {
        return result;
    }
    const auto now = steadyNow();
    member->connections.onReply(checkout.key, now);
    core.feed(trace::StatementEvidence{name});
    // A repeated reply carries the entry of the original effect, not the end of the log.
    if (!reply->repeated) {
        core.onState(name, reply->position, reply->adopted, sentAt);
    }
    core.router.setRoundTrip(name, now - sentAt);
    return result;
}

/// Returns the answer's session token: \a session with \a position merged in for \a group.
[[nodiscard]] std::string sessionAfter(SessionToken session, const GroupName &group, const LogPosition &position);

} // namespace cardamomstep::impl
