// Tests of the time that a proxy gives its peers for their replies.
#include "configuration/gossip.h"

#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <variant>
#include <vector>

using namespace cardamomstep;

namespace {

GossipOptions optionsOf(const std::string &self)
{
    GossipOptions options;
    options.self = InstanceName{self};
    options.domain = FailureDomain{"east"};
    return options;
}

/// A proxy whose only peer is "b".
ConfigurationGossip gossipWithOnePeer(const GossipOptions &options)
{
    ConfigurationGossip gossip(options);
    const LiveInstance self{options.self, options.domain, Address{"10.0.0.1:1"}};
    const LiveInstance peer{InstanceName{"b"}, options.domain, Address{"10.0.0.2:1"}};
    gossip.setInstances(std::make_shared<InstanceSet>(std::vector<LiveInstance>{self, peer}), 1);
    return gossip;
}

} // namespace

// A proxy that starts without the store gets the whole state in one reply: cut after half a second each time, it never arrived on a slow
// link (same class as incident inc2).
Test(gossip, aReplyThatTakesLongerThanTheTimeoutGetsMoreTimeNextTime)
{
    const auto options = optionsOf("a");
    auto gossip = gossipWithOnePeer(options);
    TimePoint now{Seconds{100}};
    constexpr Milliseconds transfer{3'000};
    bool arrived = false;
    for (int attempt = 0; attempt < 5 && !arrived; ++attempt) {
        const auto actions = gossip.tick(now);
        const auto &exchange = std::get<SendExchange>(actions.front());
        arrived = exchange.timeout >= transfer;
        if (!arrived) {
            gossip.onExchangeFailed(exchange.id);
        } else {
            (void)gossip.onReply(exchange.id, GossipMessage{InstanceName{"b"}, options.domain, {}, {}, {}, {}}, now);
        }
        now += options.comparisonInterval * 2;
    }
    cr_assert(arrived);
    const auto after = gossip.tick(now);
    cr_assert(std::get<SendExchange>(after.front()).timeout == options.exchangeTimeout, "a reply ends the series");
}

// Each exchange occupies one of a few threads: with long timeouts for silent peers, changes would not be pushed in time.
Test(gossip, aProxyWithAConfigurationDoesNotWaitLongForSilentPeers)
{
    const auto options = optionsOf("a");
    auto gossip = gossipWithOnePeer(options);
    TimePoint now{Seconds{100}};
    StoreListing listing;
    listing.revision = Revision{1};
    (void)gossip.onListing(listing, now, now);
    for (int attempt = 0; attempt < 5; ++attempt) {
        const auto actions = gossip.tick(now);
        const auto &exchange = std::get<SendExchange>(actions.front());
        cr_assert(exchange.timeout == options.exchangeTimeout);
        gossip.onExchangeFailed(exchange.id);
        now += options.comparisonInterval * 2;
    }
}
