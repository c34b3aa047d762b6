// Roles, exchanges and pushes of ConfigurationGossip.
#include "configuration/gossip.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cardamomstep {

namespace {

constexpr std::string_view watchPurpose = "configuration-watch";
/// On average one comparison in this many bypasses the hierarchy of peers, so that a partition among intermediates does not last.
constexpr std::uint64_t hierarchyBypassOneIn = 8;
/// A proxy that received a change from the store pushes it to this many other failure domains, which as a rule receive it from the store
/// themselves.
constexpr std::size_t storeChangePushDomains = 1;
/// Delays of proxies that query the store without being watchers.
constexpr WatchResumeOptions queryOptions{Milliseconds{0}, {Milliseconds{12'000}, Milliseconds{30'000}}};
/// Proxies that got no recent confirmation through their peers start to query the store at random times within this span, not all at once.
constexpr Milliseconds queryJitter{4500};

std::size_t sizeOf(const ConfigurationDelta &delta)
{
    std::size_t bytes = 0;
    for (const auto &change : delta.changes) {
        bytes += change.kind.text().size() + change.name.text().size() + change.value.size();
    }
    return bytes;
}

Revision newestOf(const std::optional<ConfigurationDelta> &delta)
{
    Revision newest;
    if (delta) {
        for (const auto &change : delta->changes) {
            newest = std::max(newest, change.version);
        }
    }
    return newest;
}

} // namespace

ConfigurationGossip::ConfigurationGossip(GossipOptions options)
    : options_(std::move(options))
    , random_(options_.seed)
    , state_(options_.limits)
    , freshness_(options_.domain, options_.freshness)
    , watch_(options_.watch, random_())
    , query_(queryOptions, random_())
{
}

void ConfigurationGossip::setInstances(std::shared_ptr<const InstanceSet> live, std::size_t listedDomains)
{
    live_ = std::move(live);
    localPeers_.clear();
    intermediates_.clear();
    remoteWatchers_.clear();
    watchers_ = live_->best(watchPurpose, options_.domain, options_.watchersPerDomain);
    const auto isSelf = [this](const LiveInstance *peer) {
        return peer->name == options_.self;
    };
    for (const auto &instance : live_->instances()) {
        if (instance.domain == options_.domain && instance.name != options_.self) {
            localPeers_.push_back(&instance);
        }
    }
    // With this number each watcher serves as many comparisons as each intermediate.
    const auto intermediateCount =
        static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(options_.watchersPerDomain * (localPeers_.size() + 1)))));
    intermediates_ = live_->best(watchPurpose, options_.domain, std::max(intermediateCount, options_.watchersPerDomain));
    isWatcher_ = std::any_of(watchers_.begin(), watchers_.end(), isSelf);
    isIntermediate_ = std::any_of(intermediates_.begin(), intermediates_.end(), isSelf);
    // The watchers come first in this list. They are left out because the comparisons of the intermediates load them enough.
    intermediates_.erase(intermediates_.begin(), intermediates_.begin() + static_cast<std::ptrdiff_t>(watchers_.size()));
    watchers_.erase(std::remove_if(watchers_.begin(), watchers_.end(), isSelf), watchers_.end());
    intermediates_.erase(std::remove_if(intermediates_.begin(), intermediates_.end(), isSelf), intermediates_.end());
    domains_ = live_->domains();
    for (const auto &domain : domains_) {
        if (domain != options_.domain) {
            remoteWatchers_.push_back(live_->best(watchPurpose, domain, options_.watchersPerDomain));
        }
    }
    for (auto entry = domainRevisions_.begin(); entry != domainRevisions_.end();) {
        entry = isLiveDomain(entry->first) ? std::next(entry) : domainRevisions_.erase(entry);
    }
    exchangeTimeouts_.retain(*live_);
    freshness_.setListed(std::max(listedDomains, domains_.size()), !localPeers_.empty() || !remoteWatchers_.empty());
}

GossipActions ConfigurationGossip::tick(TimePoint now)
{
    GossipActions actions;
    if (!nextComparisonAt_) {
        // The first comparison is immediate: a starting proxy needs the configuration.
        nextComparisonAt_ = now;
    }
    if (now < *nextComparisonAt_) {
        return actions;
    }
    const auto jitter = random_.below(static_cast<std::uint64_t>(options_.comparisonInterval.count()) / 4 + 1);
    nextComparisonAt_ = now + options_.comparisonInterval - options_.comparisonInterval / 8 + Milliseconds{jitter};
    if (const auto *peer = chooseComparisonPeer()) {
        send(*peer, std::nullopt, now, actions);
    }
    return actions;
}

GossipResponse ConfigurationGossip::onRequest(const GossipMessage &request, TimePoint now)
{
    GossipResponse response;
    const auto before = state_.digest();
    if (request.delta) {
        publish(state_.applyDelta(*request.delta), before, now, response.actions);
    }
    recordDomainRevision(request.domain, request.digest.complete);
    const auto ownDigest = state_.digest();
    const bool sameRevisions = ownDigest.complete == request.digest.complete && ownDigest.highest == request.digest.highest;
    const bool settled = ownDigest.highest == ownDigest.complete;
    divergences_ += sameRevisions && settled && ownDigest.hash != request.digest.hash ? 1 : 0;
    response.reply = request.delta ? message() : replyTo(request.digest, now);
    return response;
}

GossipActions ConfigurationGossip::onReply(ExchangeId id, const GossipMessage &reply, TimePoint now)
{
    GossipActions actions;
    const auto found = exchanges_.find(id);
    if (found == exchanges_.end()) {
        return actions;
    }
    const auto exchange = std::move(found->second);
    exchanges_.erase(found);
    exchangeTimeouts_.onReply(exchange.to);
    const auto before = state_.digest();
    if (reply.delta) {
        publish(state_.applyDelta(*reply.delta), before, now, actions);
    }
    recordDomainRevision(exchange.domain, std::max(exchange.pushedRevision, reply.digest.complete));
    recordContacts(reply, exchange.sentAt);
    if (isPeerBehind(reply.digest)) {
        send({exchange.to, exchange.domain, exchange.address}, state_.deltaFor(reply.digest), now, actions);
    }
    return actions;
}

void ConfigurationGossip::onExchangeFailed(ExchangeId id)
{
    const auto found = exchanges_.find(id);
    if (found == exchanges_.end()) {
        return;
    }
    exchangeTimeouts_.onFailed(found->second.to);
    exchanges_.erase(found);
}

StoreStep ConfigurationGossip::nextStoreStep(TimePoint now)
{
    if (isWatcher_) {
        return watch_.next(state_.digest().complete, now);
    }
    const auto age = freshness_.confirmationAge(now);
    if (age && *age < options_.queryStoreAfter) {
        queryAt_.reset();
        return DelayUntil{now + options_.comparisonInterval};
    }
    if (!queryAt_) {
        // Waits a random time: a peer may bring a confirmation first, and many proxies may lack one at the same time.
        queryAt_ = now + Milliseconds{random_.below(static_cast<std::uint64_t>(queryJitter.count()))};
    }
    if (now < *queryAt_) {
        return DelayUntil{*queryAt_};
    }
    return query_.next(state_.digest().complete, now);
}

GossipActions ConfigurationGossip::onListing(const StoreListing &listing, TimePoint calledAt, TimePoint now)
{
    GossipActions actions;
    const auto before = state_.digest();
    if (activeWatch().onListing(listing, before.complete, now) != StoreReplyKind::Current) {
        return actions;
    }
    auto applied = state_.applyListing(listing);
    freshness_.onConfigurationLoaded();
    freshness_.onStoreConfirmation(calledAt);
    const bool hasChanges = !applied.empty();
    publish(std::move(applied), before, now, actions);
    if (hasChanges) {
        pushToOtherDomains(before, storeChangePushDomains, now, actions);
    }
    return actions;
}

GossipActions ConfigurationGossip::onChanges(const StoreChanges &changes, TimePoint calledAt, TimePoint now)
{
    GossipActions actions;
    const auto before = state_.digest();
    if (activeWatch().onChanges(changes, before.complete, now) != StoreReplyKind::Current) {
        return actions;
    }
    auto applied = state_.applyChanges(changes);
    if (changes.revision <= state_.digest().complete) {
        freshness_.onStoreConfirmation(calledAt);
    }
    const bool hasChanges = !applied.empty();
    publish(std::move(applied), before, now, actions);
    if (hasChanges) {
        pushToOtherDomains(before, storeChangePushDomains, now, actions);
    }
    return actions;
}

void ConfigurationGossip::onStoreFailure(TimePoint now)
{
    activeWatch().onFailure(now);
}

GossipActions ConfigurationGossip::onAccepted(const StoredObject &change, TimePoint now)
{
    GossipActions actions;
    const auto before = state_.digest();
    if (!state_.applyChange(change)) {
        return actions;
    }
    publish({change}, before, now, actions);
    pushToOtherDomains(before, remoteWatchers_.size(), now, actions);
    return actions;
}

std::size_t ConfigurationGossip::domainsWithRevision(Revision revision) const
{
    const auto others = std::count_if(domainRevisions_.begin(), domainRevisions_.end(), [&](const auto &entry) {
        return entry.first != options_.domain && entry.second >= revision;
    });
    return static_cast<std::size_t>(others) + 1;
}

GossipMessage ConfigurationGossip::message() const
{
    return {options_.self, options_.domain, state_.digest(), std::nullopt, std::nullopt, {}};
}

GossipMessage ConfigurationGossip::replyTo(const ConfigurationDigest &peer, TimePoint now) const
{
    auto reply = message();
    if (freshness_.state(now) == ConfigurationFreshnessState::Starting) {
        return reply;
    }
    if (isPeerBehind(peer)) {
        reply.delta = state_.deltaFor(peer);
    }
    if (const auto age = freshness_.confirmationAge(now)) {
        reply.confirmation = StoreConfirmation{reply.digest.complete, *age};
    }
    reply.domainAges = freshness_.ages(now);
    return reply;
}

bool ConfigurationGossip::isPeerBehind(const ConfigurationDigest &peer) const noexcept
{
    const auto ownDigest = state_.digest();
    return peer.complete < ownDigest.complete || peer.highest < ownDigest.highest;
}

bool ConfigurationGossip::isLiveDomain(const FailureDomain &domain) const
{
    return std::binary_search(domains_.begin(), domains_.end(), domain);
}

const LiveInstance *ConfigurationGossip::chooseComparisonPeer()
{
    const bool bypassHierarchy = random_.below(hierarchyBypassOneIn) == 0;
    if (isWatcher_ && !remoteWatchers_.empty()) {
        return bypassHierarchy && !localPeers_.empty() ? randomPeer(localPeers_)
                                                       : randomPeer(remoteWatchers_[random_.below(remoteWatchers_.size())]);
    }
    if (bypassHierarchy && isIntermediate_ && !remoteWatchers_.empty()) {
        return randomPeer(remoteWatchers_[random_.below(remoteWatchers_.size())]);
    }
    const auto &regularPeers = isIntermediate_ || intermediates_.empty() ? watchers_ : intermediates_;
    return bypassHierarchy || regularPeers.empty() ? randomPeer(localPeers_) : randomPeer(regularPeers);
}

const LiveInstance *ConfigurationGossip::randomPeer(const Peers &peers)
{
    return peers.empty() ? nullptr : peers[random_.below(peers.size())];
}

void ConfigurationGossip::send(const LiveInstance &peer, std::optional<ConfigurationDelta> delta, TimePoint now, GossipActions &actions)
{
    if (exchanges_.size() >= options_.maxExchanges) {
        return;
    }
    const ExchangeId id{++lastExchangeId_};
    exchanges_[id] = {peer.name, peer.domain, peer.address, now, newestOf(delta)};
    auto request = message();
    request.delta = std::move(delta);
    // Only a proxy without a configuration waits long: each exchange occupies a thread, and a change must not wait behind silent peers.
    const bool starting = freshness_.state(now) == ConfigurationFreshnessState::Starting;
    const auto timeout = starting ? exchangeTimeouts_.of(peer.name) : options_.exchangeTimeout;
    actions.push_back(SendExchange{id, peer, std::move(request), timeout});
}

void ConfigurationGossip::publish(std::vector<StoredObject> applied,
                                  const ConfigurationDigest &before,
                                  TimePoint now,
                                  GossipActions &actions)
{
    const auto complete = state_.digest().complete;
    const bool hasChanges = !applied.empty();
    if (hasChanges || complete > before.complete) {
        actions.push_back(ObjectsChanged{std::move(applied), complete});
    }
    if (hasChanges) {
        push(before, now, actions);
    }
}

void ConfigurationGossip::push(const ConfigurationDigest &before, TimePoint now, GossipActions &actions)
{
    const auto delta = pushableDelta(before);
    auto peers = localPeers_;
    const auto count = std::min(options_.pushFanOut, peers.size());
    for (std::size_t chosen = 0; chosen < count; ++chosen) {
        std::swap(peers[chosen], peers[chosen + random_.below(peers.size() - chosen)]);
        send(*peers[chosen], delta, now, actions);
    }
}

void ConfigurationGossip::pushToOtherDomains(const ConfigurationDigest &before, std::size_t domains, TimePoint now, GossipActions &actions)
{
    const auto delta = pushableDelta(before);
    auto targets = remoteWatchers_;
    const auto count = std::min(domains, targets.size());
    for (std::size_t chosen = 0; chosen < count; ++chosen) {
        std::swap(targets[chosen], targets[chosen + random_.below(targets.size() - chosen)]);
        if (const auto *peer = randomPeer(targets[chosen])) {
            send(*peer, delta, now, actions);
        }
    }
}

std::optional<ConfigurationDelta> ConfigurationGossip::pushableDelta(const ConfigurationDigest &before) const
{
    auto delta = state_.deltaFor(before);
    if (delta.isFullState || sizeOf(delta) > options_.maxPushBytes) {
        // The peer's reply will show what it lacks.
        return std::nullopt;
    }
    return delta;
}

void ConfigurationGossip::recordContacts(const GossipMessage &reply, TimePoint sentAt)
{
    const auto ownDigest = state_.digest();
    // Contacts count only once everything that the peer knew is known here.
    if (ownDigest.complete < reply.digest.complete || reply.domainAges.empty()) {
        return;
    }
    freshness_.onConfigurationLoaded();
    if (reply.confirmation && reply.confirmation->revision <= ownDigest.complete) {
        freshness_.onStoreConfirmation(sentAt - reply.confirmation->age);
    }
    for (const auto &entry : reply.domainAges) {
        freshness_.onContact(entry.domain, sentAt - entry.age);
    }
}

void ConfigurationGossip::recordDomainRevision(const FailureDomain &domain, Revision revision)
{
    if (!isLiveDomain(domain)) {
        return;
    }
    auto &domainRevision = domainRevisions_[domain];
    domainRevision = std::max(domainRevision, revision);
}

} // namespace cardamomstep
