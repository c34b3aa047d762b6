// Searches the interleavings of lease calls, lost replies, restarts and rises of the store's epoch for two holders or a token used twice.
#include "leasemodel.h"
#include "search.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <cstdio>

using namespace cardamomstep;
using namespace cardamomstep::leadership::test;

namespace {

/// Number of writes that a rise may take back.
constexpr std::size_t maxLostWrites = 2;

std::vector<LeaseEvent> allEvents(std::size_t proxies)
{
    std::vector<LeaseEvent> events{{LeaseEventKind::ShortWait}, {LeaseEventKind::LongWait}};
    for (std::size_t lost = 0; lost < maxLostWrites; ++lost) {
        events.push_back({LeaseEventKind::Rise, lost});
    }
    for (auto kind = LeaseEventKind::Write; kind < LeaseEventKind::Rise; kind = static_cast<LeaseEventKind>(static_cast<int>(kind) + 1)) {
        for (std::size_t proxy = 0; proxy < proxies; ++proxy) {
            events.push_back({kind, proxy});
        }
    }
    return events;
}

void searchAll(std::size_t proxies, std::size_t depth)
{
    Search<LeaseModel, LeaseEvent> search(LeaseModel(proxies), allEvents(proxies));
    const auto path = search.shortestViolation(depth);
    std::printf("lease search: %zu proxies, depth %zu, %llu states\n", proxies, depth, static_cast<unsigned long long>(search.states()));
    cr_assert(path.empty(), "%s", toText(path).c_str());
}

} // namespace

Test(leasesearch, noInterleavingOfTwoProxiesGivesTwoHolders)
{
    searchAll(2, numberFromEnvironment("LEASE_SEARCH_DEPTH_2", 6));
}

Test(leasesearch, noInterleavingOfThreeProxiesGivesTwoHolders)
{
    searchAll(3, numberFromEnvironment("LEASE_SEARCH_DEPTH_3", 5));
}

Test(leasesearch, noLongRandomInterleavingGivesTwoHolders)
{
    const bool passed = rc::check("random interleavings", [] {
        const auto proxies = *rc::gen::inRange<std::size_t>(2, 5);
        const auto events = allEvents(proxies);
        LeaseModel model(proxies);
        std::vector<LeaseEvent> path;
        for (const auto &event : *rc::gen::container<std::vector<LeaseEvent>>(120, rc::gen::elementOf(events))) {
            if (model.enabled(event)) {
                model.apply(event);
                path.push_back(event);
            }
            RC_ASSERT(model.violation().empty());
        }
    });
    cr_assert(passed);
}
