// Searches the interleavings of table renewals, registrations, primary changes and rises of the store's epoch for a proxy that relies on
// a member that is not the primary.
#include "search.h"
#include "tablemodel.h"

#include "base/random.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdio>

using namespace cardamomstep;
using namespace cardamomstep::leadership::test;

namespace {

constexpr std::size_t maxLostWrites = 4;

std::vector<TableEvent> allEvents(std::size_t proxies)
{
    std::vector<TableEvent> events;
    for (std::size_t wait = 0; wait < std::size(TableModel::waits); ++wait) {
        events.push_back({TableEventKind::Wait, wait});
    }
    for (std::size_t lost = 0; lost < maxLostWrites; ++lost) {
        events.push_back({TableEventKind::Rise, lost});
    }
    for (auto kind = TableEventKind::ContendForLease; kind < TableEventKind::Rise;
         kind = static_cast<TableEventKind>(static_cast<int>(kind) + 1)) {
        for (std::size_t proxy = 0; proxy < proxies; ++proxy) {
            events.push_back({kind, proxy});
        }
    }
    return events;
}

/// How often an event is drawn: what a fleet does all the time is frequent, faults and long waits are rare.
unsigned weightOf(const TableEvent &event)
{
    constexpr unsigned common = 12;
    constexpr unsigned usual = 4;
    switch (event.kind) {
    case TableEventKind::Wait:
        return event.argument == 0 ? 4 * common : (event.argument == 1 ? usual : 1);
    case TableEventKind::Rise:
    case TableEventKind::Restart:
        return 1;
    case TableEventKind::ContendForLease:
    case TableEventKind::HolderDuties:
    case TableEventKind::RenewFromHolder:
    case TableEventKind::Quiesce:
        return common;
    case TableEventKind::Promote:
    case TableEventKind::Publish:
        return 2 * common;
    default:
        return usual;
    }
}

/// Draws enabled events until an invariant is broken, at most as many as a list has.
std::vector<TableEvent> randomPath(std::size_t proxies, Random &random)
{
    constexpr std::size_t length = 400;
    std::vector<TableEvent> pool;
    for (const auto &event : allEvents(proxies)) {
        pool.insert(pool.end(), weightOf(event), event);
    }
    TableModel model(proxies);
    std::vector<TableEvent> path;
    for (std::size_t draw = 0; draw < length && model.violation().empty(); ++draw) {
        const auto &event = pool[random.below(pool.size())];
        if (model.enabled(event)) {
            model.apply(event);
            path.push_back(event);
        }
    }
    return path;
}

/// Returns the violation that the events lead to; empty if there is none. Events that are not enabled are left out.
std::string replay(std::size_t proxies, const std::vector<TableEvent> &events)
{
    TableModel model(proxies);
    for (const auto &event : events) {
        if (model.enabled(event)) {
            model.apply(event);
        }
    }
    return model.violation();
}

/// Leaves out events as long as the rest still breaks an invariant.
std::vector<TableEvent> shortened(std::size_t proxies, std::vector<TableEvent> events)
{
    for (std::size_t index = 0; index < events.size();) {
        auto without = events;
        without.erase(without.begin() + static_cast<std::ptrdiff_t>(index));
        if (replay(proxies, without).empty()) {
            ++index;
        } else {
            events = std::move(without);
            index = 0;
        }
    }
    return events;
}

} // namespace

Test(tablesearch, theModelStartsWithUsableTables)
{
    const TableModel model(3);
    cr_assert(model.violation().empty());
    cr_assert(model.usable(0) && model.usable(1) && model.usable(2));
}

Test(tablesearch, noShortInterleavingLeavesAnOutdatedPrimaryInUse)
{
    const auto depth = numberFromEnvironment("TABLE_SEARCH_DEPTH", 4);
    Search<TableModel, TableEvent> search(TableModel(2), allEvents(2));
    const auto path = search.shortestViolation(depth);
    std::printf("table search: 2 proxies, depth %zu, %llu states\n", depth, static_cast<unsigned long long>(search.states()));
    cr_assert(path.empty(), "%s", toText(path).c_str());
}

Test(tablesearch, noLongRandomInterleavingLeavesAnOutdatedPrimaryInUse)
{
    const auto runs = numberFromEnvironment("TABLE_SEARCH_RUNS", 4000);
    const auto firstSeed = numberFromEnvironment("TABLE_SEARCH_SEED", 1);
    std::uint64_t published = 0;
    std::uint64_t rises = 0;
    for (std::size_t run = 0; run < runs; ++run) {
        Random random(firstSeed + run);
        const std::size_t proxies = 2 + random.below(3);
        const auto path = randomPath(proxies, random);
        published += static_cast<std::uint64_t>(
            std::count_if(path.begin(), path.end(), [](const auto &event) { return event.kind == TableEventKind::Publish; }));
        rises += static_cast<std::uint64_t>(
            std::count_if(path.begin(), path.end(), [](const auto &event) { return event.kind == TableEventKind::Rise; }));
        const auto violation = replay(proxies, path);
        cr_assert(violation.empty(), "seed %zu: %s: %s", firstSeed + run, violation.c_str(), toText(shortened(proxies, path)).c_str());
    }
    std::printf("table search: %zu random lists, %llu primary changes, %llu rises\n",
                runs,
                static_cast<unsigned long long>(published),
                static_cast<unsigned long long>(rises));
    cr_assert(published > runs / 4, "the lists must get to primary changes");
}
