// Routes a caller's statement to a proxy that owns its group.
#include "entry/dispatcher.h"

#include "requests/transactions.h"

#include <algorithm>
#include <utility>

namespace cardamomstep::entry {

namespace {

constexpr Milliseconds connectTimeout{150};
constexpr Milliseconds defaultRetryAfter{100};
/// Part of the window that is reserved for the return path to the caller.
constexpr Microseconds answerMargin{2'000};

/// Returns the answer for a statement that was sent to a peer and got no reply, so that its outcome is unknown.
Answer answerForLostReply(const Statement &statement, const std::string &why)
{
    if (statement.access == Access::Read && statement.verb == Verb::Execute) {
        return failedAnswer(Error{ErrorKind::PeerUnreachable, why}.withRetryAfter(defaultRetryAfter));
    }
    return failedAnswer(Error{ErrorKind::OutcomeUnknown, why}.withRetryAfter(defaultRetryAfter));
}

/// True when the statement may be sent to another owner after one received it and did not reply.
///
/// Members store the request id together with the effects, so a statement runs at most once, however often it arrives.
bool mayRetryAtAnotherOwner(const Statement &statement)
{
    return statement.verb == Verb::Outcome || (statement.verb == Verb::Execute && statement.transaction.empty());
}

/// True when a proxy refused a statement because it does not own the group.
bool isNotOwner(const Answer &answer)
{
    return answer.error && answer.error->kind == ErrorKind::PeerUnreachable;
}

} // namespace

Dispatcher::Dispatcher(LiveInstance self, Sources sources, peer::Client &peers, Transactions &transactions)
    : self_(std::move(self))
    , sources_(std::move(sources))
    , peers_(peers)
    , transactions_(transactions)
{
}

Answer Dispatcher::run(Statement statement, TimePoint deadline)
{
    const auto fleet = sources_.fleet();
    if (!fleet.mayServe) {
        return failedAnswer(
            Error{ErrorKind::NotReady, "this proxy has no configuration that is recent enough to serve"}.withRetryAfter(defaultRetryAfter));
    }
    if (!statement.transaction.empty()) {
        return runInTransaction(statement, fleet, deadline);
    }
    const auto group = groupOf(statement, fleet);
    if (!group) {
        return failedAnswer(group.error());
    }
    statement.group = *group;
    if (!statement.acceptedAge) {
        const auto *intent = fleet.catalog->intent(statement.service);
        statement.acceptedAge = intent == nullptr ? std::nullopt : intent->acceptedAge;
    }
    return runAtOwners(statement, fleet, deadline);
}

Answer Dispatcher::runForwarded(const Statement &statement, TimePoint deadline)
{
    return runLocally(statement, deadline);
}

Result<GroupName> Dispatcher::groupOf(const Statement &statement, const FleetSnapshot &fleet) const
{
    auto group = fleet.catalog->groupFor(statement.service, statement.key);
    if (group && fleet.catalog->group(*group) == nullptr) {
        return Error{ErrorKind::UnknownGroup, "no record describes the group " + group->text()};
    }
    return group;
}

Answer Dispatcher::runInTransaction(const Statement &statement, const FleetSnapshot &fleet, TimePoint deadline)
{
    const auto owner = TransactionRegistry::ownerOf(statement.transaction);
    if (!owner) {
        return failedAnswer(Error{ErrorKind::TransactionUnknown, "the transaction id is malformed"});
    }
    auto routed = statement;
    if (!statement.key.empty()) {
        const auto group = groupOf(statement, fleet);
        if (!group) {
            return failedAnswer(group.error());
        }
        routed.group = *group;
    }
    if (*owner == self_.name) {
        return runLocally(routed, deadline);
    }
    const auto &instances = fleet.instances->instances();
    const auto found = std::find_if(instances.begin(), instances.end(), [&owner](const auto &instance) { return instance.name == *owner; });
    if (found == instances.end()) {
        const auto kind = statement.verb == Verb::Commit ? ErrorKind::OutcomeUnknown : ErrorKind::TransactionAborted;
        return failedAnswer(Error{kind, "the proxy that ran the transaction is no longer live"}.withRetryAfter(defaultRetryAfter));
    }
    const auto result = peers_.execute(found->address, routed, deadline - steadyNow() - answerMargin, connectTimeout);
    if (const auto *answer = std::get_if<Answer>(&result)) {
        return *answer;
    }
    const auto &failure = std::get<peer::Failure>(result);
    if (failure.notSent || statement.verb != Verb::Commit) {
        return failedAnswer(Error{ErrorKind::TransactionAborted, failure.description}.withRetryAfter(defaultRetryAfter));
    }
    return answerForLostReply(statement, failure.description);
}

Answer Dispatcher::runAtOwners(const Statement &statement, const FleetSnapshot &fleet, TimePoint deadline)
{
    auto lastFailure = failedAnswer(Error{ErrorKind::PeerUnreachable, "no owner of the group is live"}.withRetryAfter(defaultRetryAfter));
    bool sentWithoutReply = false;
    for (const auto *owner : ownersByProximity(fleet, statement.group)) {
        const auto remaining = deadline - steadyNow() - answerMargin;
        if (remaining <= Microseconds{0}) {
            break;
        }
        if (owner->name == self_.name) {
            const auto answer = runLocally(statement, deadline);
            const bool mayHaveRun = sentWithoutReply && answer.ran == Ran::No && statement.access == Access::Write;
            return mayHaveRun ? answerForLostReply(statement, "an earlier owner may have run the request") : answer;
        }
        const auto result = peers_.execute(owner->address, statement, remaining, connectTimeout);
        if (const auto *answer = std::get_if<Answer>(&result)) {
            if (isNotOwner(*answer)) {
                lastFailure = sentWithoutReply ? lastFailure : *answer;
                continue;
            }
            // The answer holds for this owner only: an earlier one may have run what this one refused.
            const bool mayHaveRun = sentWithoutReply && answer->ran == Ran::No && statement.access == Access::Write;
            return mayHaveRun ? answerForLostReply(statement, "an earlier owner may have run the request") : *answer;
        }
        const auto &failure = std::get<peer::Failure>(result);
        sentWithoutReply = sentWithoutReply || !failure.notSent;
        lastFailure = sentWithoutReply
            ? answerForLostReply(statement, failure.description)
            : failedAnswer(Error{ErrorKind::PeerUnreachable, failure.description}.withRetryAfter(defaultRetryAfter));
        if (sentWithoutReply && !mayRetryAtAnotherOwner(statement)) {
            break;
        }
    }
    return lastFailure;
}

Answer Dispatcher::runLocally(const Statement &statement, TimePoint deadline)
{
    auto group = statement.group;
    if (!statement.transaction.empty()) {
        const auto transactionGroup = transactions_.groupOf(statement.transaction);
        if (transactionGroup && !group.empty() && *transactionGroup != group) {
            return failedAnswer(Error{ErrorKind::MalformedRequest, "the key lies in another group than the transaction"});
        }
        group = transactionGroup.value_or(group);
    }
    const auto owner = sources_.localOwner(group);
    if (!owner && !statement.transaction.empty()) {
        return failedAnswer(Error{ErrorKind::TransactionUnknown, "the transaction is not open here"});
    }
    if (!owner) {
        return failedAnswer(Error{ErrorKind::PeerUnreachable, "this proxy does not own the group"}.withRetryAfter(defaultRetryAfter));
    }
    return owner->run(statement, deadline);
}

std::vector<const LiveInstance *> Dispatcher::ownersByProximity(const FleetSnapshot &fleet, const GroupName &group) const
{
    const auto *record = fleet.catalog->group(group);
    auto owners = fleet.instances->owners(group, domainsOf(*record));
    std::stable_partition(owners.begin(), owners.end(), [this](const auto *owner) { return owner->domain == self_.domain; });
    std::stable_partition(owners.begin(), owners.end(), [this](const auto *owner) { return owner->name == self_.name; });
    return owners;
}

} // namespace cardamomstep::entry
