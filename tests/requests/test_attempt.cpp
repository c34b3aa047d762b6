// Tests of the at-most-once machine: each rule by itself, then random interleavings against a small model of a group.
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

WriteRequirements needUntil(std::int64_t milliseconds, bool idempotent = false)
{
    WriteRequirements need;
    need.fingerprint = ourFingerprint;
    need.idempotent = idempotent;
    need.deadline = at(milliseconds);
    return need;
}

MemberReply doneAt(const LogPosition &mark)
{
    MemberReply reply;
    reply.position = mark;
    reply.adopted = mark.term;
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

WriteStep covering(const LogPosition &mark)
{
    return WaitQuorum{mark};
}

WriteStep asking(const Term &term, TimePoint notBefore)
{
    return QueryOutcome{term, notBefore};
}

template<typename Step>
bool is(const WriteStep &step)
{
    return std::holds_alternative<Step>(step);
}

} // namespace

Test(requests, aWriteIsAcknowledgedOnlyOnceCovered)
{
    RetryBudget budget;
    WriteAttempt attempt{needUntil(1000), budget};
    cr_assert(attempt.start({termOf(3), true}, at(0)) == WriteStep{SendStoreWrite{termOf(3)}});
    const LogPosition entry{termOf(3), 12};
    cr_assert(attempt.replied(doneAt(entry), at(5)) == covering(entry));
    cr_assert(is<WaitQuorum>(attempt.replicated(LogPosition{termOf(3), 11})));
    const auto answer = answerOf(attempt.replicated(entry));
    cr_assert(answer.ran == Ran::Yes && !answer.error && answer.position == entry);
}

Test(requests, aRepeatedEntryOfAnOlderTermNeedsCoverageOfTheCurrentOne)
{
    RetryBudget budget;
    WriteAttempt attempt{needUntil(1000), budget};
    (void)attempt.start({termOf(5), true}, at(0));
    auto reply = doneAt(LogPosition{termOf(3), 12});
    reply.repeated = true;
    cr_assert(attempt.replied(reply, at(5)) == covering(LogPosition{termOf(5), 0}));
}

Test(requests, aLostAnswerIsAskedForAndNeverResent)
{
    RetryBudget budget;
    WriteAttempt attempt{needUntil(1000), budget};
    (void)attempt.start({termOf(3), true}, at(0));
    cr_assert(attempt.sendFailed(lost(), at(5)) == asking(termOf(3), at(5)));
    // Absent at the same primary proves nothing: the request may still arrive.
    cr_assert(is<QueryOutcome>(attempt.onOutcome(outcomeAt(termOf(3), std::nullopt), at(10))));
    const LogPosition entry{termOf(3), 12};
    cr_assert(attempt.onOutcome(outcomeAt(termOf(3), entry), at(40)) == covering(entry));
    cr_assert(answerOf(attempt.replicated(entry)).ran == Ran::Yes);
    cr_assert(attempt.sends() == 1);
}

Test(requests, aReplicasFindingIsNotFinal)
{
    RetryBudget budget;
    WriteAttempt attempt{needUntil(1000), budget};
    (void)attempt.start({termOf(3), true}, at(0));
    (void)attempt.sendFailed(lost(), at(5));
    auto onReplica = outcomeAt(termOf(3), LogPosition{termOf(3), 12});
    onReplica.report.role = MemberRole::Replica;
    cr_assert(is<QueryOutcome>(attempt.onOutcome(onReplica, at(10))));
    auto superseded = outcomeAt(termOf(3), LogPosition{termOf(3), 12});
    superseded.report.adopted = termOf(4);
    cr_assert(is<QueryOutcome>(attempt.onOutcome(superseded, at(40))));
}

Test(requests, absenceUnderACoveredHigherTermIsTheProofThatAllowsAResend)
{
    RetryBudget budget;
    WriteAttempt attempt{needUntil(1000), budget};
    (void)attempt.start({termOf(3), true}, at(0));
    (void)attempt.sendFailed(lost(), at(5));
    cr_assert(is<QueryOutcome>(attempt.primaryChanged({termOf(4), false}, at(10))));
    cr_assert(is<QueryOutcome>(attempt.onOutcome(outcomeAt(termOf(4), std::nullopt), at(20))), "the start entry may still be lost");
    cr_assert(is<QueryOutcome>(attempt.primaryChanged({termOf(4), true}, at(30))));
    cr_assert(attempt.onOutcome(outcomeAt(termOf(4), std::nullopt), at(40)) == WriteStep{SendStoreWrite{termOf(4)}});
    cr_assert(attempt.sends() == 2);
}

Test(requests, anAcknowledgementInWaitingIsCheckedAgainAfterAFailover)
{
    RetryBudget budget;
    WriteAttempt attempt{needUntil(1000), budget};
    (void)attempt.start({termOf(3), true}, at(0));
    (void)attempt.replied(doneAt(LogPosition{termOf(3), 12}), at(5));
    cr_assert(attempt.primaryChanged({termOf(4), true}, at(9)) == asking(termOf(4), at(9)));
    const LogPosition entry{termOf(3), 12};
    cr_assert(attempt.onOutcome(outcomeAt(termOf(4), entry), at(20)) == covering(LogPosition{termOf(4), 0}));
    const auto answer = answerOf(attempt.replicated(LogPosition{termOf(4), 0}));
    cr_assert(answer.ran == Ran::Yes && answer.position == entry);
}

Test(requests, failuresBeforeTheFirstByteAreNotRun)
{
    RetryBudget budget{{0.1, 2}};
    WriteAttempt attempt{needUntil(1000), budget};
    (void)attempt.start({termOf(3), true}, at(0));
    const ConnectionFailure unsent{ConnectionFault::Closed, true, "not sent"};
    cr_assert(is<SendStoreWrite>(attempt.sendFailed(unsent, at(1))));
    cr_assert(is<SendStoreWrite>(attempt.sendFailed(unsent, at(2))));
    const auto answer = answerOf(attempt.sendFailed(unsent, at(3)));
    cr_assert(answer.ran == Ran::No && answer.error->kind == ErrorKind::EndpointUnreachable && answer.error->retryAfter);
}

Test(requests, anUnsentWriteGoesToANewPrimaryWithoutABudget)
{
    RetryBudget budget{{0.1, 0}};
    const ConnectionFailure unsent{ConnectionFault::Closed, true, "not sent"};
    WriteAttempt attempt{needUntil(1000), budget};
    (void)attempt.start({termOf(3), true}, at(0));
    cr_assert(is<SendStoreWrite>(attempt.primaryChanged({termOf(4), false}, at(1))));
    const WriteStep atNew = SendStoreWrite{termOf(4)};
    cr_assert(attempt.sendFailed(unsent, at(2)) == atNew);
    (void)attempt.primaryChanged({}, at(3));
    cr_assert(is<WaitPrimary>(attempt.sendFailed(unsent, at(4))));
    const WriteStep atNext = SendStoreWrite{termOf(5)};
    cr_assert(attempt.primaryChanged({termOf(5), false}, at(9)) == atNext);
    const auto answer = answerOf(attempt.sendFailed(unsent, at(10)));
    cr_assert(answer.ran == Ran::No);
}

Test(requests, aSupersededPrimaryRefusalWaitsForTheNextOne)
{
    RetryBudget budget;
    WriteAttempt attempt{needUntil(1000), budget};
    (void)attempt.start({termOf(3), true}, at(0));
    cr_assert(attempt.replied(refusal(Refusal::LowerTerm), at(5)) == WriteStep{WaitPrimary{termOf(3)}});
    cr_assert(is<WaitPrimary>(attempt.primaryChanged({termOf(3), true}, at(6))));
    cr_assert(attempt.primaryChanged({termOf(4), false}, at(90)) == WriteStep{SendStoreWrite{termOf(4)}});
}

Test(requests, withoutAPrimaryTheAnswerIsNotRunAndInTime)
{
    RetryBudget budget;
    WriteAttempt attempt{needUntil(100), budget};
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
    WriteAttempt attempt{needUntil(5), budget};
    const auto answer = answerOf(attempt.start({termOf(3), true}, at(0)));
    cr_assert(answer.ran == Ran::No && answer.error->kind == ErrorKind::WindowTooShort);
    cr_assert(attempt.sends() == 0);
}

Test(requests, coverageThatComesTooLateIsToldAtOnce)
{
    RetryBudget budget;
    WriteAttempt attempt{needUntil(1000), budget};
    (void)attempt.start({termOf(3), true}, at(0));
    (void)attempt.replied(doneAt(LogPosition{termOf(3), 12}), at(5));
    cr_assert(is<WaitQuorum>(attempt.replicationExpected(at(500), at(6))));
    const auto answer = answerOf(attempt.replicationExpected(at(5000), at(6)));
    cr_assert(answer.ran == Ran::Unknown && answer.error->kind == ErrorKind::OutcomeUnknown);
    cr_assert(answer.error->retryAfter && answer.sentTerm == termOf(3));
}

Test(requests, aReplyThatNeverComesIsUnknown)
{
    RetryBudget budget;
    WriteAttempt attempt{needUntil(100), budget};
    (void)attempt.start({termOf(3), true}, at(0));
    const auto answer = answerOf(attempt.wake(*attempt.nextWake()));
    cr_assert(answer.ran == Ran::Unknown);
}

Test(requests, aReusedRequestIdIsRefused)
{
    RetryBudget budget;
    WriteAttempt first{needUntil(1000), budget};
    (void)first.start({termOf(3), true}, at(0));
    const auto refused = answerOf(first.replied(refusal(Refusal::RequestIdReused), at(5)));
    cr_assert(refused.ran == Ran::No && refused.error->kind == ErrorKind::RequestIdReused);

    WriteAttempt second{needUntil(1000), budget};
    (void)second.start({termOf(3), true}, at(0));
    (void)second.sendFailed(lost(), at(5));
    const auto found = answerOf(second.onOutcome(outcomeAt(termOf(3), LogPosition{termOf(3), 4}, ourFingerprint + 1), at(9)));
    cr_assert(found.ran == Ran::No && found.error->kind == ErrorKind::RequestIdReused);
}

Test(requests, idempotentWritesRetryWithinTheBudget)
{
    RetryBudget budget{{0.1, 2}};
    WriteAttempt attempt{needUntil(1000, true), budget};
    (void)attempt.start({termOf(3), true}, at(0));
    cr_assert(is<SendStoreWrite>(attempt.sendFailed(lost(), at(10))));
    cr_assert(is<SendStoreWrite>(attempt.sendFailed(lost(), at(20))));
    cr_assert(is<QueryOutcome>(attempt.sendFailed(lost(), at(30))), "the budget is spent");
    cr_assert(attempt.sends() == 3);
}

Test(requests, commitsAreNeverSentTwice)
{
    RetryBudget budget;
    auto need = needUntil(1000, true);
    need.commit = true;
    WriteAttempt unsent{need, budget};
    (void)unsent.start({termOf(3), true}, at(0));
    const auto aborted = answerOf(unsent.sendFailed({ConnectionFault::Closed, true, "not sent"}, at(1)));
    cr_assert(aborted.ran == Ran::No && aborted.error->kind == ErrorKind::TransactionAborted);

    WriteAttempt sent{need, budget};
    (void)sent.start({termOf(3), true}, at(0));
    cr_assert(is<QueryOutcome>(sent.sendFailed(lost(), at(1))));
    (void)sent.primaryChanged({termOf(4), true}, at(5));
    const auto gone = answerOf(sent.onOutcome(outcomeAt(termOf(4), std::nullopt), at(9)));
    cr_assert(gone.ran == Ran::No && gone.error->kind == ErrorKind::TransactionAborted);
    cr_assert(sent.sends() == 1);
}

Test(requests, anOutcomeQuestionClaimsNoMoreThanItKnows)
{
    RetryBudget budget;
    auto need = needUntil(1000);
    need.goal = WriteGoal::QueryOutcome;
    need.fingerprint.reset();

    WriteAttempt unknown{need, budget};
    cr_assert(is<QueryOutcome>(unknown.start({termOf(4), true}, at(0))));
    const auto open = answerOf(unknown.onOutcome(outcomeAt(termOf(4), std::nullopt), at(8)));
    cr_assert(open.ran == Ran::Unknown && !open.sentTerm);

    need.sentTerm = termOf(3);
    WriteAttempt proved{need, budget};
    (void)proved.start({termOf(4), true}, at(0));
    const auto absent = answerOf(proved.onOutcome(outcomeAt(termOf(4), std::nullopt), at(8)));
    cr_assert(absent.ran == Ran::No && !absent.error);

    WriteAttempt ran{need, budget};
    (void)ran.start({termOf(4), true}, at(0));
    (void)ran.onOutcome(outcomeAt(termOf(4), LogPosition{termOf(3), 8}), at(8));
    cr_assert(answerOf(ran.replicated(LogPosition{termOf(4), 0})).ran == Ran::Yes);
    cr_assert(ran.sends() == 0);
}

namespace {

// A group of three members as far as one request is concerned. Messages in flight may arrive at any time or never.
struct GroupModel {
    struct Entry {
        Term term;
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
    std::vector<Term> flying;
    std::uint64_t nextTerm = 2;
    /// Without it a second arrival leaves a second entry, so that a wrong resend is seen.
    bool detectsRepeats;

    explicit GroupModel(bool detects)
        : detectsRepeats(detects)
    {
        members[0].leads = true;
    }

    [[nodiscard]] bool covered(const Term &term, const LogPosition &mark) const
    {
        const auto reached = std::count_if(
            members.begin(), members.end(), [&](const Member &member) { return member.adopted == term && member.last() >= mark; });
        return reached >= 2;
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

    [[nodiscard]] LeaderInfo view() const
    {
        const auto *leader = primary();
        return leader == nullptr ? LeaderInfo{} : LeaderInfo{leader->adopted, covered(leader->adopted, LogPosition{leader->adopted, 0})};
    }

    // Runs a send at the member that leads its term, even when that member was superseded and does not know it.
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

constexpr int lastStep = 60;

// Drives one attempt through random events and returns its answer; checks at each send that no earlier one can still last.
AnswerWrite runRandomly(WriteAttempt &attempt, GroupModel &group)
{
    auto step = attempt.start(group.view(), at(0));
    for (int time = 1; !is<AnswerWrite>(step); ++time) {
        const auto now = at(time * 20);
        const auto event = *rc::gen::inRange(0, 10);
        if (event == 0) {
            const auto first = *rc::gen::inRange<std::size_t>(0, 3);
            group.promote(first, (first + 1) % 3);
        } else if (event <= 3) {
            group.replicate(*rc::gen::inRange<std::size_t>(0, 3));
        } else if (event == 4 && !group.flying.empty()) {
            const auto term = group.flying.back();
            group.flying.pop_back();
            (void)group.arrive(term);
        } else if (event == 5) {
            step = attempt.primaryChanged(group.view(), now);
        } else if (const auto *send = std::get_if<SendStoreWrite>(&step)) {
            const auto fate = *rc::gen::inRange(0, 4);
            if (fate == 0) {
                group.flying.push_back(send->term);
            }
            const auto reply = fate == 0 ? std::nullopt : group.arrive(send->term);
            const bool replyLost = fate == 1;
            step = reply && !replyLost ? attempt.replied(*reply, now) : attempt.sendFailed(lost(), now);
        } else if (const auto *waiting = std::get_if<WaitQuorum>(&step)) {
            const auto *leader = group.primary();
            if (leader != nullptr && leader->adopted == waiting->position.term && group.covered(leader->adopted, waiting->position)) {
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

// Lets everything in flight arrive and the group settle under further failovers; true when the effect lasts.
bool effectLasts(GroupModel &group)
{
    for (int round = 0; round < 6; ++round) {
        const bool arrives = !group.flying.empty() && *rc::gen::arbitrary<bool>();
        if (arrives) {
            (void)group.arrive(group.flying.back());
            group.flying.pop_back();
        }
        const auto first = *rc::gen::inRange<std::size_t>(0, 3);
        group.promote(first, (first + 1) % 3);
        group.replicate((first + 2) % 3);
    }
    const auto *leader = group.primary();
    return leader != nullptr && leader->ours().has_value();
}

} // namespace

Test(requests, everyAnswerIsTrueUnderRandomFailovers)
{
    int yes = 0;
    int no = 0;
    int unknown = 0;
    int resent = 0;
    const bool holds = rc::check("answers are true", [&]() {
        RetryBudget budget;
        const bool idempotent = *rc::gen::arbitrary<bool>();
        GroupModel group{idempotent};
        WriteAttempt attempt{needUntil(lastStep * 20, idempotent), budget};
        const auto answer = runRandomly(attempt, group);
        const bool lasts = effectLasts(group);
        yes += answer.ran == Ran::Yes ? 1 : 0;
        no += answer.ran == Ran::No ? 1 : 0;
        unknown += answer.ran == Ran::Unknown ? 1 : 0;
        resent += attempt.sends() > 1 ? 1 : 0;
        RC_ASSERT(answer.ran != Ran::Yes || lasts);
        RC_ASSERT(answer.ran != Ran::No || !lasts);
        const auto entries =
            std::count_if(group.primary()->log.begin(), group.primary()->log.end(), [](const auto &entry) { return entry.ours; });
        RC_ASSERT(entries <= 1);
    });
    std::printf("attempt: yes %d, no %d, unknown %d, sent more than once %d\n", yes, no, unknown, resent);
    cr_assert(holds);
}
