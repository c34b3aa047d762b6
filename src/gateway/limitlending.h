// Loans of customers' tokens between proxies: requests of this proxy, and those of others.
#pragma once

#include "evloop/clock.h"
#include "fleet/messages.h"
#include "gateway/servingset.h"
#include "relay/engine.h"

#include <boost/asio.hpp>

#include <functional>
#include <utility>
#include <vector>

namespace cardamomstep::gateway {

/// Passes shares to the engine's limits, and loan requests and replies between proxies.
///
/// \a Client has the interface of fleet::FleetClient. All functions run on the event loop; the client's replies come from other threads.
template<typename Client>
class LimitLending
{
public:
    /// Time for one request. A loan that comes later than customers::minLoanLifetime would be worthless.
    static constexpr Milliseconds callTimeout{100};
    /// The maximum number of proxies that are asked for one loan, one after the other.
    static constexpr std::size_t maxPeersAsked = 3;

    LimitLending(boost::asio::io_context &loop, relay::Engine &engine, Client &client, ServingSet serving)
        : loop_(loop)
        , engine_(engine)
        , client_(client)
        , serving_(std::move(serving))
    {
    }

    /// The serving sets changed.
    void servingChanged()
    {
        sharesCurrent_ = false;
    }

    /// Applies shares that changed and sends the loan requests that are due; call it at each wake-up of the engine.
    void step(TimePoint now)
    {
        auto &limits = engine_.customerLimits();
        const auto version = engine_.routes().version();
        const bool configured = std::exchange(version_, version) != version;
        if (!std::exchange(sharesCurrent_, true) || configured) {
            limits.updateShares(serving_.shareOf, now);
        }
        for (const auto &request : limits.takeLoanRequests(now)) {
            const auto status = limits.status(request.customer, now);
            auto peers = status ? serving_.peersOf(request.customer, status->limit) : std::vector<Address>{};
            const auto first = peers.empty() ? 0 : nextPeer_++ % peers.size();
            ask({request, std::move(peers), first, 0, now});
        }
    }

    /// Handles a request of another proxy; may be called on any thread.
    void onBorrow(const fleet::BorrowRequest &request, const std::function<void(fleet::BorrowReply)> &sendReply)
    {
        boost::asio::post(loop_, [this, request, sendReply] {
            sendReply({engine_.customerLimits().lend(request.customer, request.wanted, evloop::bootTimeNow())});
        });
    }

private:
    struct Attempt {
        customers::LoanRequest request;
        std::vector<Address> peers;
        std::size_t first = 0;
        std::size_t asked = 0;
        TimePoint startedAt;
    };

    /// Asks the next peer; ends the request if there is none left, or no time for its reply.
    void ask(Attempt attempt)
    {
        const auto now = evloop::bootTimeNow();
        const bool inTime = now - attempt.startedAt + callTimeout <= customers::minLoanLifetime;
        if (attempt.asked >= std::min(attempt.peers.size(), maxPeersAsked) || !inTime) {
            engine_.customerLimits().onLoan(attempt.request.customer, 0, now);
            return;
        }
        const auto peer = attempt.peers[(attempt.first + attempt.asked) % attempt.peers.size()];
        ++attempt.asked;
        const fleet::BorrowRequest message{attempt.request.customer, attempt.request.wanted};
        client_.borrow(peer, message, callTimeout, [this, attempt = std::move(attempt)](const Result<fleet::BorrowReply> &reply) mutable {
            const auto granted = reply ? reply->granted : 0;
            boost::asio::post(loop_, [this, granted, attempt = std::move(attempt)]() mutable { onReply(granted, std::move(attempt)); });
        });
    }

    void onReply(std::uint32_t granted, Attempt attempt)
    {
        if (granted == 0) {
            ask(std::move(attempt));
            return;
        }
        engine_.customerLimits().onLoan(attempt.request.customer, granted, evloop::bootTimeNow());
    }

    boost::asio::io_context &loop_;
    relay::Engine &engine_;
    Client &client_;
    ServingSet serving_;
    bool sharesCurrent_ = false;
    /// The configuration's version for which the shares were set.
    std::uint64_t version_ = 0;
    /// Peers are asked in round-robin order.
    std::size_t nextPeer_ = 0;
};

} // namespace cardamomstep::gateway
