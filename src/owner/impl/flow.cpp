// Shared by the flows of single requests.
#include "owner/impl/flow.h"

#include "requests/fingerprint.h"

#include <algorithm>

namespace cardamomstep::impl {

MemberCall callFor(GroupCore &core, const Statement &statement, const Term &term)
{
    MemberCall call;
    call.exchange = core.nextExchange();
    call.term = term;
    call.write = statement.access == Access::Write;
    call.operation = statement.operation;
    call.key = statement.key;
    call.arguments = statement.arguments;
    call.requestId = statement.requestId;
    call.fingerprint = fingerprintOf(statement);
    return call;
}

Error errorFor(Refusal refusal, const std::string &description)
{
    switch (refusal) {
    case Refusal::LowerTerm:
        return Error{ErrorKind::Superseded, description}.withRetryAfter(defaultRetryAfter);
    case Refusal::NotPrimary:
        return Error{ErrorKind::NoPrimary, description}.withRetryAfter(defaultRetryAfter);
    case Refusal::RequestIdReused:
        return Error{ErrorKind::RequestIdReused, description};
    case Refusal::TransactionUnknown:
        return Error{ErrorKind::TransactionAborted, description}.withRetryAfter(defaultRetryAfter);
    case Refusal::StatementFailed:
        return Error{ErrorKind::StatementFailed, description};
    case Refusal::Leaving:
        break;
    }
    return Error{ErrorKind::NoPrimary, "the member is leaving"}.withRetryAfter(defaultRetryAfter);
}

Milliseconds exchangeTimeout(const MemberConnections &connections, TimePoint deadline)
{
    const auto remaining = wholeMilliseconds(deadline - steadyNow());
    return std::max(Milliseconds{1}, std::min(remaining, connections.replyTimeout()));
}

std::string sessionAfter(SessionToken session, const GroupName &group, const LogPosition &position)
{
    // checkCapacity() succeeded before the request ran, so the merge cannot fail.
    (void)session.merge(group, position);
    return session.format();
}

} // namespace cardamomstep::impl
