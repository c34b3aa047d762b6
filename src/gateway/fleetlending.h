// Loans of customers' tokens between the registered proxies.
#pragma once

#include "gateway/derivedsettings.h"
#include "gateway/leadershipcontext.h"
#include "gateway/limitlending.h"
#include "gateway/proxyregistry.h"
#include "gateway/servingset.h"

#include <functional>
#include <vector>

namespace cardamomstep::gateway {

/// Connects LimitLending with the placement of customers and with the registry of proxies.
template<typename Store>
class FleetLending
{
public:
    FleetLending(LeadershipContext<Store> &context, const ProxyRegistry<Store> &registry)
        : context_(context)
        , registry_(registry)
        , terms_(limitTermsOf(context.settings))
        , lending_(context.loop, context.host.engine, context.client, servingSet())
    {
    }

    /// The registered proxies changed, and with them the placement of customers.
    void proxiesChanged()
    {
        lending_.servingChanged();
    }

    /// See LimitLending::step().
    void step(TimePoint now)
    {
        lending_.step(now);
    }

    /// Returns the handler of other proxies' requests; it may be called on any thread.
    [[nodiscard]] std::function<void(fleet::BorrowRequest request, std::function<void(fleet::BorrowReply)> sendReply)> handler()
    {
        return [this](const fleet::BorrowRequest &request, const std::function<void(fleet::BorrowReply)> &sendReply) {
            lending_.onBorrow(request, sendReply);
        };
    }

private:
    [[nodiscard]] ServingSet servingSet() const
    {
        return {[this](const CustomerName &customer, const customers::RateLimit &limit) {
                    return limitShareOf(context_.settings.instance, context_.host.servingProxies(customer), limit, terms_);
                },
                [this](const CustomerName &customer, const customers::RateLimit &limit) {
                    return peersOf(customer, limit);
                }};
    }

    [[nodiscard]] std::vector<Address> peersOf(const CustomerName &customer, const customers::RateLimit &limit) const
    {
        std::vector<Address> peers;
        for (const auto &name : bucketHoldersOf(context_.host.servingProxies(customer), limit, terms_)) {
            const auto *peer = registry_.find(name);
            if (peer != nullptr && name != context_.settings.instance) {
                peers.push_back(peer->address);
            }
        }
        return peers;
    }

    const LeadershipContext<Store> &context_;
    const ProxyRegistry<Store> &registry_;
    customers::LimitTerms terms_;
    LimitLending<fleet::FleetClient> lending_;
};

} // namespace cardamomstep::gateway
