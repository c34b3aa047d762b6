// Timeouts of exchanges with peers, which grow for a peer whose replies do not arrive in time.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "membership/rendezvous.h"

#include <algorithm>
#include <map>

namespace cardamomstep {

/// The timeout for the next exchange with each peer, for a proxy that needs the full state.
///
/// It doubles with each consecutive failure: a fixed timeout would cut the reply each time on a slow link.
class ExchangeTimeouts
{
public:
    ExchangeTimeouts(Milliseconds first, Milliseconds maximum)
        : first_(first)
        , maximum_(maximum)
    {
    }

    [[nodiscard]] Milliseconds of(const InstanceName &peer) const
    {
        const auto found = timeouts_.find(peer);
        return found == timeouts_.end() ? first_ : found->second;
    }

    void onFailed(const InstanceName &peer)
    {
        timeouts_[peer] = std::min(of(peer) * 2, maximum_);
    }

    void onReply(const InstanceName &peer)
    {
        timeouts_.erase(peer);
    }

    /// Forgets peers that are not in \a live.
    void retain(const InstanceSet &live)
    {
        const auto &instances = live.instances();
        std::erase_if(timeouts_, [&instances](const auto &entry) {
            return !std::binary_search(instances.begin(), instances.end(), LiveInstance{entry.first, {}, {}}, byName);
        });
    }

private:
    static bool byName(const LiveInstance &left, const LiveInstance &right)
    {
        return left.name < right.name;
    }

    Milliseconds first_;
    Milliseconds maximum_;
    /// Timeouts of peers with which the last exchange failed.
    std::map<InstanceName, Milliseconds> timeouts_;
};

} // namespace cardamomstep
