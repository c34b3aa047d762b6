// Pings of the MembershipView: whom it pings, and when a proxy without a reply is suspected or dead.
#include "membership/view.h"

#include <algorithm>
#include <set>

namespace cardamomstep {

namespace {

/// With more rumors than this, the next snapshot is fetched earlier, because it is cheaper and faster than the rumors.
constexpr std::size_t rumorsForEarlySnapshot = 100;
/// Number of random draws after which the search for a suitable proxy is given up until the next call.
constexpr int maxDraws = 16;

} // namespace

const KnownProxy *MembershipView::nextTarget()
{
    // A dead proxy that is still listed is pinged like any other, so that both sides of a healed partition find each other.
    return randomProxy(
        [this](const KnownProxy &proxy) { return proxy.update->state != ProxyState::Dead || isListed(proxy.update->instance.name); });
}

const KnownProxy *MembershipView::randomNotDead(const InstanceName &except)
{
    return randomProxy(
        [&except](const KnownProxy &proxy) { return proxy.update->state != ProxyState::Dead && proxy.update->instance.name != except; });
}

template<typename Predicate>
const KnownProxy *MembershipView::randomProxy(Predicate isWanted)
{
    for (int draw = 0; draw < maxDraws; ++draw) {
        const auto &proxy = proxies_[random_.below(proxies_.size())];
        if (!isSelf(proxy.update->instance.name) && isWanted(proxy)) {
            return &proxy;
        }
    }
    return nullptr;
}

void MembershipView::ping(TimePoint now, MembershipActions &actions)
{
    const auto *target = nextTarget();
    if (target == nullptr) {
        return;
    }
    const PingId id{++lastPing_};
    probes_[id] = {target->update->instance.name, now, false};
    const auto to = target->update->instance;
    actions.emplace_back(std::in_place_type<SendPing>, SendPing{id, to, messageTo(target)});
}

void MembershipView::fetchSnapshot(TimePoint now, MembershipActions &actions)
{
    const auto intervalForSize = options_.snapshotIntervalPerProxy * static_cast<Milliseconds::rep>(proxies_.size());
    const auto interval = std::max(options_.minSnapshotInterval, intervalForSize);
    const auto jitter = [this](Milliseconds span) {
        return Milliseconds{random_.below(static_cast<std::uint64_t>(span.count()) + 1)};
    };
    if (!nextSnapshot_) {
        nextSnapshot_ = now;
    }
    if (rumors_.size() > rumorsForEarlySnapshot) {
        nextSnapshot_ = std::min(*nextSnapshot_, now + options_.minSnapshotInterval + jitter(options_.minSnapshotInterval));
    }
    if (now < *nextSnapshot_) {
        return;
    }
    if (const auto *from = randomNotDead(options_.self.name)) {
        actions.emplace_back(std::in_place_type<FetchSnapshot>, FetchSnapshot{from->update->instance});
        nextSnapshot_ = now + interval / 2 + jitter(interval);
    }
}

void MembershipView::checkProbes(TimePoint now, MembershipActions &actions)
{
    for (auto entry = probes_.begin(); entry != probes_.end();) {
        auto &[id, probe] = *entry;
        if (now - probe.sentAt >= options_.probeTimeout) {
            suspect(probe.target, now);
            entry = probes_.erase(entry);
            continue;
        }
        if (!probe.indirectPingsSent && now - probe.sentAt >= options_.directPingTimeout) {
            probe.indirectPingsSent = true;
            sendIndirectPings(id, probe, actions);
        }
        ++entry;
    }
}

void MembershipView::sendIndirectPings(PingId id, const Probe &probe, MembershipActions &actions)
{
    const auto *target = find(probe.target);
    if (target == nullptr || target->update->state == ProxyState::Dead) {
        return;
    }
    const auto instance = target->update->instance;
    std::set<InstanceName> requested;
    while (requested.size() < options_.indirectPings) {
        const auto *via = randomProxy([&](const KnownProxy &proxy) {
            const auto &name = proxy.update->instance.name;
            return proxy.update->state != ProxyState::Dead && name != probe.target && !requested.contains(name);
        });
        if (via == nullptr) {
            return;
        }
        requested.insert(via->update->instance.name);
        actions.push_back(SendIndirectPing{id, via->update->instance, instance, messageTo(find(probe.target))});
    }
}

void MembershipView::checkSuspects(TimePoint now)
{
    std::vector<InstanceName> expired;
    for (const auto &[name, deadline] : suspects_) {
        if (now >= deadline) {
            expired.push_back(name);
        }
    }
    for (const auto &name : expired) {
        setState(*find(name), ProxyState::Dead, now);
    }
}

} // namespace cardamomstep
