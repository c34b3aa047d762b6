// Searches the interleavings of lease calls, lost replies, restarts and rises of the store's epoch for two holders or a token used twice.
#include "leasemodel.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <cstdio>
#include <cstdlib>

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

/// Depth-first search of all event lists up to a length.
class Search
{
public:
    explicit Search(std::size_t proxies)
        : events_(allEvents(proxies))
        , start_(proxies)
    {
    }

    /// Returns the shortest event list of at most \a depth events that breaks an invariant; empty if there is none.
    std::vector<LeaseEvent> shortestViolation(std::size_t depth)
    {
        for (std::size_t length = 1; length <= depth; ++length) {
            path_.clear();
            if (visit(start_, length)) {
                return path_;
            }
        }
        return {};
    }

    [[nodiscard]] std::uint64_t states() const noexcept
    {
        return states_;
    }

private:
    bool visit(const LeaseModel &model, std::size_t remaining)
    {
        ++states_;
        if (!model.violation().empty()) {
            return true;
        }
        if (remaining == 0) {
            return false;
        }
        for (const auto &event : events_) {
            if (!model.enabled(event)) {
                continue;
            }
            auto next = model;
            next.apply(event);
            path_.push_back(event);
            if (visit(next, remaining - 1)) {
                return true;
            }
            path_.pop_back();
        }
        return false;
    }

    std::vector<LeaseEvent> events_;
    LeaseModel start_;
    std::vector<LeaseEvent> path_;
    std::uint64_t states_ = 0;
};

std::size_t depthFromEnvironment(const char *variable, std::size_t fallback)
{
    const char *text = std::getenv(variable);
    return text == nullptr ? fallback : static_cast<std::size_t>(std::strtoul(text, nullptr, 10));
}

void searchAll(std::size_t proxies, std::size_t depth)
{
    Search search(proxies);
    const auto path = search.shortestViolation(depth);
    std::printf("lease search: %zu proxies, depth %zu, %llu states\n", proxies, depth, static_cast<unsigned long long>(search.states()));
    cr_assert(path.empty(), "%s", toText(path).c_str());
}

} // namespace

Test(leasesearch, noInterleavingOfTwoProxiesGivesTwoHolders)
{
    searchAll(2, depthFromEnvironment("LEASE_SEARCH_DEPTH_2", 6));
}

Test(leasesearch, noInterleavingOfThreeProxiesGivesTwoHolders)
{
    searchAll(3, depthFromEnvironment("LEASE_SEARCH_DEPTH_3", 5));
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
