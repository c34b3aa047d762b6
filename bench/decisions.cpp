// Micro benchmark of the decisions made for every request: routing, admission, write attempt, session token and connection pool.
#include "connections/pool.h"
#include "requests/admission.h"
#include "requests/attempt.h"
#include "sessions/readrouter.h"
#include "sessions/token.h"

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <string>

using namespace cardamomstep;

namespace {

constexpr std::int64_t rounds = 300'000;
constexpr std::uint32_t slots = 3;

TimePoint at(std::int64_t microseconds)
{
    return TimePoint{Microseconds{microseconds}};
}

LogPosition positionOf(std::int64_t position)
{
    return LogPosition{Term{3, 9}, static_cast<std::uint64_t>(position)};
}

MemberReport reportOf(const char *member, std::int64_t position)
{
    MemberReport report;
    report.member = MemberName{member};
    report.adopted = Term{3, 9};
    report.log = positionOf(position);
    return report;
}

/// Runs \a step once per round and prints its mean time; `sink` keeps the compiler from optimizing the work away.
template<typename Step>
void measure(const char *name, Step step)
{
    std::uint64_t sink = 0;
    const auto began = std::chrono::steady_clock::now();
    for (std::int64_t round = 0; round < rounds; ++round) {
        sink += step(round);
    }
    const auto elapsed = std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - began).count();
    std::printf("%-34s %7.0f ns (%llu)\n", name, elapsed / static_cast<double>(rounds), static_cast<unsigned long long>(sink % 10));
}

ReadRouter readyRouter()
{
    ReadRouter router;
    router.setMembers({MemberName{"ledger-1-a"}, MemberName{"ledger-1-b"}, MemberName{"ledger-1-c"}});
    router.setPrimary(MemberName{"ledger-1-a"});
    for (std::int64_t time = 0; time < 100; ++time) {
        router.confirm(at(time * 1'000), positionOf(time));
        for (const auto *member : {"ledger-1-a", "ledger-1-b", "ledger-1-c"}) {
            router.report(reportOf(member, time), at(time * 1'000 + 3'000));
        }
    }
    return router;
}

ReadRequirements agedRead(std::int64_t time)
{
    return ReadRequirements{positionOf(40), Milliseconds{50}, at(time), at(time + 300'000)};
}

AdmissionRequest replicaRead(std::int64_t round, std::int64_t window)
{
    return AdmissionRequest{static_cast<std::uint64_t>(round), Lane::Replica, ServiceName{"ledger"}, at(round + window)};
}

void measureRouting()
{
    auto router = readyRouter();
    measure("route and verify a read", [&](std::int64_t round) {
        ReadPlan plan{agedRead(100'000 + round % 1'000)};
        const auto step = router.route(plan, at(100'000 + round % 1'000));
        const auto *fromMember = std::get_if<ReadFromMember>(&step);
        return fromMember != nullptr && router.verify(plan, fromMember->member, positionOf(99), at(104'000 + round % 1'000)) ? 1U : 0U;
    });
    AdmissionQueue queue;
    (void)queue.setSlots(Lane::Replica, slots, at(0));
    measure("route, admit and finish a read", [&](std::int64_t round) {
        ReadPlan plan{agedRead(100'000 + round % 1'000)};
        const auto step = router.route(plan, at(100'000 + round % 1'000));
        const auto admitted = queue.request(replicaRead(round, 300'000), at(round)).size();
        return step.index() + admitted + queue.finished(static_cast<std::uint64_t>(round), at(round)).size();
    });
    std::int64_t position = 100;
    measure("apply a report", [&](std::int64_t round) {
        ++position;
        router.confirm(at(200'000 + round * 100), positionOf(position));
        router.report(reportOf("ledger-1-b", position), at(200'000 + round * 100 + 50));
        return router.highestReported().index;
    });
}

void measureFullQueue()
{
    AdmissionQueue queue;
    (void)queue.setSlots(Lane::Replica, slots, at(0));
    std::int64_t ticket = 0;
    while (queue.waiting(Lane::Replica) < AdmissionLimits{}.maxWaiting) {
        ++ticket;
        (void)queue.request(replicaRead(ticket, 10'000'000), at(0));
    }
    measure("refuse at a full queue",
            [&](std::int64_t round) { return queue.request(replicaRead(ticket + 1 + round, 10'000'000), at(0)).size(); });
}

void measureWrite()
{
    RetryBudget budget;
    measure("run a write attempt", [&](std::int64_t round) {
        WriteRequirements requirements;
        requirements.fingerprint = 5;
        requirements.deadline = at(round + 300'000);
        WriteAttempt attempt{requirements, budget};
        (void)attempt.start({Term{3, 9}, true}, at(round));
        MemberReply reply;
        reply.position = positionOf(round);
        (void)attempt.replied(reply, at(round + 5'000));
        return attempt.replicated(reply.position).index();
    });
}

void measureTokenAndPool()
{
    SessionToken token;
    (void)token.merge(GroupName{"ledger-1"}, positionOf(120'000));
    (void)token.merge(GroupName{"ledger-2"}, positionOf(90'000));
    const auto text = token.format();
    measure("parse, merge and format a token", [&](std::int64_t round) {
        auto read = SessionToken::parse(text);
        (void)read->merge(GroupName{"ledger-1"}, positionOf(120'000 + round));
        return read->format().size();
    });
    ConnectionPool pool;
    (void)pool.setAllowed(8, at(0));
    const auto first = std::get<OpenConnection>(pool.acquire(at(100'000), at(0))).key;
    pool.opened(first, at(0));
    (void)pool.release(first, at(0));
    measure("acquire and release a connection", [&](std::int64_t round) {
        (void)pool.acquire(at(round + 100'000), at(round));
        return pool.release(first, at(round)) ? 1U : 0U;
    });
}

} // namespace

int main()
{
    measureRouting();
    measureFullQueue();
    measureWrite();
    measureTokenAndPool();
    std::printf("state for each group: router %zu B, admission %zu B\n", sizeof(ReadRouter), sizeof(AdmissionQueue));
    return 0;
}
