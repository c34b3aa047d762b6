// Tests of the at-most-once state machine: each rule alone, then random interleavings against a small model of a group.
#include "requests/attempt.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <optional>
#include <vector>

using namespace cardamomstep;

namespace {

constexpr std::uint64_t ourFingerprint = 77;

TimePoint at(std::int64_t milliseconds)
{
    return TimePoint{Milliseconds{milliseconds}};
}

Term termOf(std::uint64_t number)
{
    return Term{number, 9};
}

WriteRequirements requirementsUntil(std::int64_t milliseconds, bool idempotent = false)
{
    WriteRequirements requirements;
    requirements.fingerprint = ourFingerprint;
    requirements.idempotent = idempotent;
    requirements.deadline = at(milliseconds);
    return requirements;
}

MemberReply doneAt(const LogPosition &logPosition)
{
    MemberReply reply;
    reply.position = logPosition;
    reply.adopted = logPosition.term;
    return reply;
}

MemberReply refusal(Refusal reason)
{
    MemberReply reply;
    reply.refusal = reason;
    return reply;
}

OutcomeReply outcomeAt(const Term &leader, std::optional<LogPosition> found, std::uint64_t fingerprint = ourFingerprint)
{
    OutcomeReply reply;
    reply.found = found.has_value();
    reply.position = found.value_or(LogPosition{});
    reply.fingerprint = fingerprint;
    reply.report.role = MemberRole::Primary;
    reply.report.adopted = leader;
    reply.report.log = LogPosition{leader, 50};
    return reply;
}

ConnectionFailure lost()
{
    return ConnectionFailure{ConnectionFault::Closed, false, "closed"};
}

const AnswerWrite &answerOf(const WriteStep &step)
{
    cr_assert(std::holds_alternative<AnswerWrite>(step));
    return std::get<AnswerWrite>(step);
}

WriteStep waitForQuorum(const LogPosition &logPosition)
{
    return WaitQuorum{logPosition};
}

WriteStep queryOutcome(const Term &term, TimePoint notBefore)
{
    return QueryOutcome{term, notBefore};
}

template<typename Step>
bool is(const WriteStep &step)
{
    return std::holds_alternative<Step>(step);
}

} // namespace

Test(requests, aWriteIsAcknowledgedOnlyOnceReplicated)
{
    RetryBudget budget;
    WriteAttempt attempt{requirementsUntil(1000), budget};
    cr_assert(attempt.start({termOf(3), true}, at(0)) == WriteStep{SendWrite{termOf(3)}});
    const LogPosition entry{termOf(3), 12};
    cr_assert(attempt.replied(doneAt(entry), at(5)) == waitForQuorum(entry));
    cr_assert(is<WaitQuorum>(attempt.replicated(LogPosition{termOf(3), 11})));
    const auto answer = answerOf(attempt.replicated(entry));
    cr_assert(answer.ran == Ran::Yes && !answer.error && answer.position == entry);
}

Test(requests, aRepeatedEntryOfAnOlderTermNeedsReplicationAtTheCurrentOne)
{
    RetryBudget budget;
    WriteAttempt attempt{requirementsUntil(1000), budget};
    (void)attempt.start({termOf(5), true}, at(0));
    auto reply = doneAt(LogPosition{termOf(3), 12});
    reply.repeated = true;
    cr_assert(attempt.replied(reply, at(5)) == waitForQuorum(LogPosition{termOf(5), 0}));
}

Test(requests, aWriteWhoseReplyWasLostIsQueriedAndNotResent)
{
    RetryBudget budget;
    WriteAttempt attempt{requirementsUntil(1000), budget};
    (void)attempt.start({termOf(3), true}, at(0));
    cr_assert(attempt.sendFailed(lost(), at(5)) == queryOutcome(termOf(3), at(5)));
    // Absent at the same primary proves nothing: the request may still arrive.
    cr_assert(is<QueryOutcome>(attempt.onOutcome(outcomeAt(termOf(3), std::nullopt), at(10))));
    const LogPosition entry{termOf(3), 12};
    cr_assert(attempt.onOutcome(outcomeAt(termOf(3), entry), at(40)) == waitForQuorum(entry));
    cr_assert(answerOf(attempt.replicated(entry)).ran == Ran::Yes);
    cr_assert(attempt.sends() == 1);
}

Test(requests, anOutcomeFromAReplicaIsNotFinal)
{
    RetryBudget budget;
    WriteAttempt attempt{requirementsUntil(1000), budget};
    (void)attempt.start({termOf(3), true}, at(0));
    (void)attempt.sendFailed(lost(), at(5));
    auto fromReplica = outcomeAt(termOf(3), LogPosition{termOf(3), 12});
    fromReplica.report.role = MemberRole::Replica;
    cr_assert(is<QueryOutcome>(attempt.onOutcome(fromReplica, at(10))));
    auto superseded = outcomeAt(termOf(3), LogPosition{termOf(3), 12});
    superseded.report.adopted = termOf(4);
    cr_assert(is<QueryOutcome>(attempt.onOutcome(superseded, at(40))));
}

Test(requests, absenceUnderAReplicatedHigherTermAllowsAResend)
{
    RetryBudget budget;
    WriteAttempt attempt{requirementsUntil(1000), budget};
    (void)attempt.start({termOf(3), true}, at(0));
    (void)attempt.sendFailed(lost(), at(5));
    cr_assert(is<QueryOutcome>(attempt.primaryChanged({termOf(4), false}, at(10))));
    cr_assert(is<QueryOutcome>(attempt.onOutcome(outcomeAt(termOf(4), std::nullopt), at(20))), "the start entry may still be lost");
    cr_assert(is<QueryOutcome>(attempt.primaryChanged({termOf(4), true}, at(30))));
    cr_assert(attempt.onOutcome(outcomeAt(termOf(4), std::nullopt), at(40)) == WriteStep{SendWrite{termOf(4)}});
    cr_assert(attempt.sends() == 2);
}

Test(requests, aWriteAwaitingReplicationIsCheckedAgainAfterAFailover)
{
    RetryBudget budget;
    WriteAttempt attempt{requirementsUntil(1000), budget};
    (void)attempt.start({termOf(3), true}, at(0));
    (void)attempt.replied(doneAt(LogPosition{termOf(3), 12}), at(5));
    cr_assert(attempt.primaryChanged({termOf(4), true}, at(9)) == queryOutcome(termOf(4), at(9)));
    const LogPosition entry{termOf(3), 12};
    cr_assert(attempt.onOutcome(outcomeAt(termOf(4), entry), at(20)) == waitForQuorum(LogPosition{termOf(4), 0}));
    const auto answer = answerOf(attempt.replicated(LogPosition{termOf(4), 0}));
    cr_assert(answer.ran == Ran::Yes && answer.position == entry);
}

Test(requests, failuresBeforeTheFirstByteAreNotRun)
{
    RetryBudget budget{{0.1, 2}};
    WriteAttempt attempt{requirementsUntil(1000), budget};
    (void)attempt.start({termOf(3), true}, at(0));
    const ConnectionFailure unsent{ConnectionFault::Closed, true, "not sent"};
    cr_assert(is<SendWrite>(attempt.sendFailed(unsent, at(1))));
    cr_assert(is<SendWrite>(attempt.sendFailed(unsent, at(2))));
    const auto answer = answerOf(attempt.sendFailed(unsent, at(3)));
    cr_assert(answer.ran == Ran::No && answer.error->kind == ErrorKind::EndpointUnreachable && answer.error->retryAfter);
}

Test(requests, anUnsentWriteGoesToANewPrimaryWithoutRetryBudget)
{
    RetryBudget budget{{0.1, 0}};
    const ConnectionFailure unsent{ConnectionFault::Closed, true, "not sent"};
    WriteAttempt attempt{requirementsUntil(1000), budget};
    (void)attempt.start({termOf(3), true}, at(0));
    cr_assert(is<SendWrite>(attempt.primaryChanged({termOf(4), false}, at(1))));
    const WriteStep atNew = SendWrite{termOf(4)};
    cr_assert(attempt.sendFailed(unsent, at(2)) == atNew);
    (void)attempt.primaryChanged({}, at(3));
    cr_assert(is<WaitPrimary>(attempt.sendFailed(unsent, at(4))));
    const WriteStep atNext = SendWrite{termOf(5)};
    cr_assert(attempt.primaryChanged({termOf(5), false}, at(9)) == atNext);
    const auto answer = answerOf(attempt.sendFailed(unsent, at(10)));
    cr_assert(answer.ran == Ran::No);
}

Test(requests, aRefusalByASupersededPrimaryWaitsForTheNextOne)
{
    RetryBudget budget;
    WriteAttempt attempt{requirementsUntil(1000), budget};
    (void)attempt.start({termOf(3), true}, at(0));
    cr_assert(attempt.replied(refusal(Refusal::LowerTerm), at(5)) == WriteStep{WaitPrimary{termOf(3)}});
    cr_assert(is<WaitPrimary>(attempt.primaryChanged({termOf(3), true}, at(6))));
    cr_assert(attempt.primaryChanged({termOf(4), false}, at(90)) == WriteStep{SendWrite{termOf(4)}});
}

Test(requests, withoutAPrimaryTheAnswerIsNotRunBeforeTheDeadline)
{
    RetryBudget budget;
    WriteAttempt attempt{requirementsUntil(100), budget};
    cr_assert(is<WaitPrimary>(attempt.start({}, at(0))));
    const auto due = attempt.nextWake();
    cr_assert(due && *due < at(100));
    const auto answer = answerOf(attempt.wake(*due));
    cr_assert(answer.ran == Ran::No && answer.error->kind == ErrorKind::NoPrimary && answer.error->retryAfter);
    cr_assert(!attempt.nextWake());
}

Test(requests, aWindowTooShortToSendIsNotRun)
{
    RetryBudget budget;
    WriteAttempt attempt{requirementsUntil(5), budget};
    const auto answer = answerOf(attempt.start({termOf(3), true}, at(0)));
    cr_assert(answer.ran == Ran::No && answer.error->kind == ErrorKind::WindowTooShort);
    cr_assert(attempt.sends() == 0);
}

Test(requests, replicationExpectedAfterTheDeadlineIsAnsweredAtOnce)
{
    RetryBudget budget;
    WriteAttempt attempt{requirementsUntil(1000), budget};
    (void)attempt.start({termOf(3), true}, at(0));
    (void)attempt.replied(doneAt(LogPosition{termOf(3), 12}), at(5));
    cr_assert(is<WaitQuorum>(attempt.replicationExpected(at(500), at(6))));
    const auto answer = answerOf(attempt.replicationExpected(at(5000), at(6)));
    cr_assert(answer.ran == Ran::Unknown && answer.error->kind == ErrorKind::OutcomeUnknown);
    cr_assert(answer.error->retryAfter && answer.sentTerm == termOf(3));
}

Test(requests, withoutAReplyTheOutcomeIsUnknown)
{
    RetryBudget budget;
    WriteAttempt attempt{requirementsUntil(100), budget};
    (void)attempt.start({termOf(3), true}, at(0));
    const auto answer = answerOf(attempt.wake(*attempt.nextWake()));
    cr_assert(answer.ran == Ran::Unknown);
}

Test(requests, aReusedRequestIdIsRefused)
{
    RetryBudget budget;
    WriteAttempt first{requirementsUntil(1000), budget};
    (void)first.start({termOf(3), true}, at(0));
    const auto refused = answerOf(first.replied(refusal(Refusal::RequestIdReused), at(5)));
    cr_assert(refused.ran == Ran::No && refused.error->kind == ErrorKind::RequestIdReused);

    WriteAttempt second{requirementsUntil(1000), budget};
    (void)second.start({termOf(3), true}, at(0));
    (void)second.sendFailed(lost(), at(5));
    const auto found = answerOf(second.onOutcome(outcomeAt(termOf(3), LogPosition{termOf(3), 4}, ourFingerprint + 1), at(9)));
    cr_assert(found.ran == Ran::No && found.error->kind == ErrorKind::RequestIdReused);
}

Test(requests, idempotentWritesRetryWithinTheBudget)
{
    RetryBudget budget{{0.1, 2}};
    WriteAttempt attempt{requirementsUntil(1000, true), budget};
    (void)attempt.start({termOf(3), true}, at(0));
    cr_assert(is<SendWrite>(attempt.sendFailed(lost(), at(10))));
    cr_assert(is<SendWrite>(attempt.sendFailed(lost(), at(20))));
    cr_assert(is<QueryOutcome>(attempt.sendFailed(lost(), at(30))), "the budget is spent");
    cr_assert(attempt.sends() == 3);
}

Test(requests, commitsAreNeverSentTwice)
{
    RetryBudget budget;
    auto requirements = requirementsUntil(1000, true);
    requirements.commit = true;
    WriteAttempt unsent{requirements, budget};
    (void)unsent.start({termOf(3), true}, at(0));
    const auto aborted = answerOf(unsent.sendFailed({ConnectionFault::Closed, true, "not sent"}, at(1)));
    cr_assert(aborted.ran == Ran::No && aborted.error->kind == ErrorKind::TransactionAborted);

    WriteAttempt sent{requirements, budget};
    (void)sent.start({termOf(3), true}, at(0));
    cr_assert(is<QueryOutcome>(sent.sendFailed(lost(), at(1))));
    (void)sent.primaryChanged({termOf(4), true}, at(5));
    const auto notRun = answerOf(sent.onOutcome(outcomeAt(termOf(4), std::nullopt), at(9)));
    cr_assert(notRun.ran == Ran::No && notRun.error->kind == ErrorKind::TransactionAborted);
    cr_assert(sent.sends() == 1);
}

Test(requests, anOutcomeQueryAnswersOnlyWhatIsProved)
{
    RetryBudget budget;
    auto requirements = requirementsUntil(1000);
    requirements.goal = WriteGoal::QueryOutcome;
    requirements.fingerprint.reset();

    WriteAttempt unknown{requirements, budget};
    cr_assert(is<QueryOutcome>(unknown.start({termOf(4), true}, at(0))));
    const auto undecided = answerOf(unknown.onOutcome(outcomeAt(termOf(4), std::nullopt), at(8)));
    cr_assert(undecided.ran == Ran::Unknown && !undecided.sentTerm);

    requirements.sentTerm = termOf(3);
    WriteAttempt proved{requirements, budget};
    (void)proved.start({termOf(4), true}, at(0));
    const auto absent = answerOf(proved.onOutcome(outcomeAt(termOf(4), std::nullopt), at(8)));
    cr_assert(absent.ran == Ran::No && !absent.error);

    WriteAttempt ran{requirements, budget};
    (void)ran.start({termOf(4), true}, at(0));
    (void)ran.onOutcome(outcomeAt(termOf(4), LogPosition{termOf(3), 8}), at(8));
    cr_assert(answerOf(ran.replicated(LogPosition{termOf(4), 0})).ran == Ran::Yes);
    cr_assert(ran.sends() == 0);
}

namespace {

// A model of a group of three members and one request. Messages in flight may arrive at any time or never.
struct GroupModel {
    struct Entry {
        Term term;
        /// True for the entry of the request under test.
        bool ours = false;

        bool operator==(const Entry &) const = default;
    };

    struct Member {
        Term adopted = termOf(1);
        bool leads = false;
        std::vector<Entry> log{{termOf(1), false}};

        [[nodiscard]] LogPosition last() const
        {
            return LogPosition{log.back().term, log.size()};
        }

        [[nodiscard]] std::optional<LogPosition> ours() const
        {
            for (std::size_t index = 0; index < log.size(); ++index) {
                if (log[index].ours) {
                    return LogPosition{log[index].term, index + 1};
                }
            }
            return std::nullopt;
        }
    };

    std::array<Member, 3> members;
    /// Sends that have not arrived, by term.
    std::vector<Term> inFlight;
    std::uint64_t nextTerm = 2;
    /// When false, a second arrival adds a second entry, so that a wrong resend is detected.
    bool detectsRepeats;

    explicit GroupModel(bool detects)
        : detectsRepeats(detects)
    {
        members[0].leads = true;
    }

    [[nodiscard]] bool hasQuorum(const Term &term, const LogPosition &logPosition) const
    {
        const auto confirming = std::count_if(
            members.begin(), members.end(), [&](const Member &member) { return member.adopted == term && member.last() >= logPosition; });
        return confirming >= 2;
    }

    // The primary that a majority has adopted, if any.
    [[nodiscard]] const Member *primary() const
    {
        const Member *found = nullptr;
        for (const auto &member : members) {
            const auto adopters =
                std::count_if(members.begin(), members.end(), [&](const Member &other) { return other.adopted == member.adopted; });
            if (member.leads && adopters >= 2) {
                found = &member;
            }
        }
        return found;
    }

    [[nodiscard]] LeaderInfo leaderInfo() const
    {
        const auto *leader = primary();
        return leader == nullptr ? LeaderInfo{} : LeaderInfo{leader->adopted, hasQuorum(leader->adopted, LogPosition{leader->adopted, 0})};
    }

    // Executes a send at the member that leads its term, even when that member was superseded and does not know it.
    std::optional<MemberReply> arrive(const Term &term)
    {
        for (auto &member : members) {
            if (!member.leads || member.adopted != term) {
                continue;
            }
            if (detectsRepeats && member.ours()) {
                return doneAt(*member.ours());
            }
            member.log.push_back({term, true});
            return doneAt(member.last());
        }
        return std::nullopt;
    }

    void promote(std::size_t first, std::size_t second)
    {
        const auto term = termOf(nextTerm++);
        for (const auto index : {first, second}) {
            members[index].adopted = term;
            members[index].leads = false;
        }
        auto &leader = members[members[first].last() >= members[second].last() ? first : second];
        leader.leads = true;
        leader.log.push_back({term, false});
    }

    void replicate(std::size_t index)
    {
        const auto *leader = primary();
        if (leader != nullptr && leader != &members[index] && leader->adopted >= members[index].adopted) {
            members[index].adopted = leader->adopted;
            members[index].leads = false;
            members[index].log = leader->log;
        }
    }
};

constexpr int stepCount = 60;

// Drives one attempt through random events and returns its answer.
AnswerWrite runRandomly(WriteAttempt &attempt, GroupModel &group)
{
    auto step = attempt.start(group.leaderInfo(), at(0));
    for (int time = 1; !is<AnswerWrite>(step); ++time) {
        const auto now = at(time * 20);
        const auto event = *rc::gen::inRange(0, 10);
        if (event == 0) {
            const auto first = *rc::gen::inRange<std::size_t>(0, 3);
            group.promote(first, (first + 1) % 3);
        } else if (event <= 3) {
            group.replicate(*rc::gen::inRange<std::size_t>(0, 3));
        } else if (event == 4 && !group.inFlight.empty()) {
            const auto term = group.inFlight.back();
            group.inFlight.pop_back();
            (void)group.arrive(term);
        } else if (event == 5) {
            step = attempt.primaryChanged(group.leaderInfo(), now);
        } else if (const auto *send = std::get_if<SendWrite>(&step)) {
            const auto delivery = *rc::gen::inRange(0, 4);
            if (delivery == 0) {
                group.inFlight.push_back(send->term);
            }
            const auto reply = delivery == 0 ? std::nullopt : group.arrive(send->term);
            const bool replyLost = delivery == 1;
            step = reply && !replyLost ? attempt.replied(*reply, now) : attempt.sendFailed(lost(), now);
        } else if (const auto *waiting = std::get_if<WaitQuorum>(&step)) {
            const auto *leader = group.primary();
            if (leader != nullptr && leader->adopted == waiting->position.term && group.hasQuorum(leader->adopted, waiting->position)) {
                step = attempt.replicated(waiting->position);
            }
        } else if (is<QueryOutcome>(step)) {
            const auto *leader = group.primary();
            if (leader == nullptr) {
                step = attempt.onOutcomeFailed(now);
            } else {
                auto reply = outcomeAt(leader->adopted, leader->ours());
                reply.report.log = leader->last();
                step = attempt.onOutcome(reply, now);
            }
        }
        step = is<AnswerWrite>(step) ? step : attempt.wake(now);
    }
    return std::get<AnswerWrite>(step);
}

// Delivers some of the messages in flight during further failovers; returns true when the effect is still in the log afterwards.
bool isEffectDurable(GroupModel &group)
{
    for (int round = 0; round < 6; ++round) {
        const bool arrives = !group.inFlight.empty() && *rc::gen::arbitrary<bool>();
        if (arrives) {
            (void)group.arrive(group.inFlight.back());
            group.inFlight.pop_back();
        }
        const auto first = *rc::gen::inRange<std::size_t>(0, 3);
        group.promote(first, (first + 1) % 3);
        group.replicate((first + 2) % 3);
    }
    const auto *leader = group.primary();
    return leader != nullptr && leader->ours().has_value();
}

} // namespace

Test(requests, everyAnswerIsCorrectUnderRandomFailovers)
{
    int yes = 0;
    int no = 0;
    int unknown = 0;
    int resent = 0;
    const bool holds = rc::check("answers are correct", [&]() {
        RetryBudget budget;
        const bool idempotent = *rc::gen::arbitrary<bool>();
        GroupModel group{idempotent};
        WriteAttempt attempt{requirementsUntil(stepCount * 20, idempotent), budget};
        const auto answer = runRandomly(attempt, group);
        const bool durable = isEffectDurable(group);
        yes += answer.ran == Ran::Yes ? 1 : 0;
        no += answer.ran == Ran::No ? 1 : 0;
        unknown += answer.ran == Ran::Unknown ? 1 : 0;
        resent += attempt.sends() > 1 ? 1 : 0;
        RC_ASSERT(answer.ran != Ran::Yes || durable);
        RC_ASSERT(answer.ran != Ran::No || !durable);
        const auto entries =
            std::count_if(group.primary()->log.begin(), group.primary()->log.end(), [](const auto &entry) { return entry.ours; });
        RC_ASSERT(entries <= 1);
    });
    std::printf("attempt: yes %d, no %d, unknown %d, sent more than once %d\n", yes, no, unknown, resent);
    cr_assert(holds);
}
