// What the flows of single requests have in common: sending one call and settling the session token.
#pragma once

#include "owner/impl/groupcore.h"
#include "sessions/token.h"
#include "statements/statement.h"

#include <mutex>

namespace cardamomstep::impl {

/// Operation of a write that has no effect but to hold its request id; see docs/design/member.md.
inline constexpr const char *closeIdOperation = "none";

/// Time to come back that answers name when nothing better is known.
inline constexpr Milliseconds defaultRetryAfter{100};

/// The call that a member gets for \a statement.
[[nodiscard]] MemberCall callFor(GroupCore &core, const Statement &statement, const Term &term);

/// The error that a member's refusal means for the caller; nothing of the call took effect.
[[nodiscard]] Error errorFor(Refusal refusal, const std::string &description);

/// Time that an exchange may take: until the connection counts as silent, at most until \a deadline.
[[nodiscard]] Milliseconds exchangeTimeout(const MemberConnections &connections, TimePoint deadline);

/// Sends one call by \a send(link, timeout) on \a lease, with \a lock released meanwhile.
///
/// Feeds what the reply says to the machines; the lease is not given back.
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
    // A stored reply names the entry of its effect, not the end of the log.
    if (!reply->repeated) {
        core.onState(name, reply->position, reply->adopted, sentAt);
    }
    core.router.setRoundTrip(name, now - sentAt);
    return result;
}

/// The answer's session token: \a session with \a mark merged in.
[[nodiscard]] std::string sessionAfter(SessionToken session, const GroupName &group, const LogPosition &position);

} // namespace cardamomstep::impl
