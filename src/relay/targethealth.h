// Proxies that failed to serve forwarded sessions: when they are tried again, and by how many sessions.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "membership/rendezvous.h"

#include <map>
#include <utility>
#include <vector>

namespace cardamomstep::relay {

/// Tracks which proxies could not be reached, and which refused the sessions of a customer.
///
/// After the backoff, new sessions are forwarded again. Existing sessions, which are ended so that the caller's next one is forwarded, move
/// only to proxies that have accepted a session since their last failure, except for one session in each backoff: if the proxy still
/// refuses, as one with another configuration does for long, the others are not ended in vain.
class TargetHealth
{
public:
    /// Time for which no sessions are forwarded to a proxy that failed to serve one.
    static constexpr Milliseconds failureBackoff{3000};

    /// Returns true unless \a proxy failed within the backoff.
    [[nodiscard]] bool reachable(const Address &proxy, TimePoint now) const;

    /// Returns true unless \a proxy failed, or refused a session of \a customer, within the backoff.
    [[nodiscard]] bool accepts(const Address &proxy, const CustomerName &customer, TimePoint now) const;

    /// Returns true if an existing session of \a customer may be ended so that the next one is forwarded to \a proxy.
    ///
    /// Counts as an attempt if the proxy has not accepted a session since its last failure.
    [[nodiscard]] bool mayRedirect(const Address &proxy, const CustomerName &customer, TimePoint now);

    /// Records that \a proxy could not be reached, or did not reply.
    void onFailed(const Address &proxy, TimePoint now);

    /// Records that \a proxy refused a session of \a customer; others are still forwarded there.
    void onRefused(const Address &proxy, const CustomerName &customer, TimePoint now);

    /// Records that \a proxy accepted a session of \a customer; returns true if it had failed or refused before.
    bool onAccepted(const Address &proxy, const CustomerName &customer);

    /// Returns true if a backoff has ended since the last call.
    [[nodiscard]] bool expire(TimePoint now);

    /// Forgets the proxies that are not in \a proxies.
    void keepOnly(const std::vector<LiveInstance> &proxies);

private:
    struct Failure {
        /// End of the backoff.
        TimePoint until;
        /// When the next existing session may be redirected.
        TimePoint nextAttempt;
        /// expire() has reported the end of the backoff.
        bool expired = false;
    };

    /// The customer is empty for failures that concern all sessions.
    using Key = std::pair<Address, CustomerName>;

    [[nodiscard]] bool inBackoff(const Key &key, TimePoint now) const;
    [[nodiscard]] bool mayAttempt(const Key &key, TimePoint now) const;
    void noteAttempt(const Key &key, TimePoint now);

    std::map<Key, Failure> failures_;
};

} // namespace cardamomstep::relay
