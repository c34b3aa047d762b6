// Roles, exchanges and pushes of ConfigurationSpread.
#include "configuration/gossip.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cardamomstep {

namespace {

constexpr std::string_view watchPurpose = "configuration-watch";
/// Every so many comparisons, one goes to a peer outside the usual order, so that a cut among relays does not last.
constexpr std::uint64_t strayEvery = 8;
/// A proxy that had a change from the store pushes it to this many other failure domains, which have it from the store themselves as a
/// rule.
constexpr std::size_t pushedAbroad = 1;
/// Pauses of proxies that ask the store though they do not watch.
constexpr WatchResumeOptions askOptions{Milliseconds{0}, {Milliseconds{12'000}, Milliseconds{30'000}}};
/// Proxies that miss their peers' confirmations begin to ask the store within this time, not all at once.
constexpr Milliseconds askWithin{4500};

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
    , query_(askOptions, random_())
{
}

void ConfigurationGossip::setInstances(std::shared_ptr<const InstanceSet> live, std::size_t listedDomains)
{
    live_ = std::move(live);
    localPeers_.clear();
    relays_.clear();
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
    // As many comparisons for each watcher as for each relay.
    const auto relays =
        static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(options_.watchersPerDomain * (localPeers_.size() + 1)))));
    relays_ = live_->best(watchPurpose, options_.domain, std::max(relays, options_.watchersPerDomain));
    isWatcher_ = std::any_of(watchers_.begin(), watchers_.end(), isSelf);
    isRelay_ = std::any_of(relays_.begin(), relays_.end(), isSelf);
    // Watchers stand first among the relays; they are busy enough with the other relays.
    relays_.erase(relays_.begin(), relays_.begin() + static_cast<std::ptrdiff_t>(watchers_.size()));
    watchers_.erase(std::remove_if(watchers_.begin(), watchers_.end(), isSelf), watchers_.end());
    relays_.erase(std::remove_if(relays_.begin(), relays_.end(), isSelf), relays_.end());
    domains_ = live_->domains();
    for (const auto &domain : domains_) {
        if (domain != options_.domain) {
            remoteWatchers_.push_back(live_->best(watchPurpose, domain, options_.watchersPerDomain));
        }
    }
    for (auto entry = domainRevisions_.begin(); entry != domainRevisions_.end();) {
        entry = isKnown(entry->first) ? std::next(entry) : domainRevisions_.erase(entry);
    }
    freshness_.setListed(std::max(listedDomains, domains_.size()), !localPeers_.empty() || !remoteWatchers_.empty());
}

GossipActions ConfigurationGossip::tick(TimePoint now)
{
    GossipActions actions;
    if (!nextCompare_) {
        // The first comparison comes at once: a proxy that starts needs the configuration.
        nextCompare_ = now;
    }
    if (now < *nextCompare_) {
        return actions;
    }
    const auto jitter = random_.below(static_cast<std::uint64_t>(options_.comparisonInterval.count()) / 4 + 1);
    nextCompare_ = now + options_.comparisonInterval - options_.comparisonInterval / 8 + Milliseconds{jitter};
    if (const auto *peer = comparePeer()) {
        send(*peer, std::nullopt, now, actions);
    }
    return actions;
}

GossipResponse ConfigurationGossip::onRequest(const GossipMessage &request, TimePoint now)
{
    GossipResponse handled;
    const auto before = state_.digest();
    if (request.delta) {
        publish(state_.applyDelta(*request.delta), before, now, handled.actions);
    }
    recordDomainRevision(request.domain, request.digest.complete);
    const auto mine = state_.digest();
    const bool sameRevisions = mine.complete == request.digest.complete && mine.highest == request.digest.highest;
    const bool settled = mine.highest == mine.complete;
    divergences_ += sameRevisions && settled && mine.hash != request.digest.hash ? 1 : 0;
    handled.reply = request.delta ? message() : replyTo(request.digest, now);
    return handled;
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
    const auto before = state_.digest();
    if (reply.delta) {
        publish(state_.applyDelta(*reply.delta), before, now, actions);
    }
    recordDomainRevision(exchange.domain, std::max(exchange.pushed, reply.digest.complete));
    applyReply(reply, exchange.sentAt);
    if (isBehind(reply.digest)) {
        send({exchange.to, exchange.domain, exchange.address}, state_.deltaFor(reply.digest), now, actions);
    }
    return actions;
}

void ConfigurationGossip::onExchangeFailed(ExchangeId id)
{
    exchanges_.erase(id);
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
        // Peers come first, and many proxies may miss them at the same time.
        queryAt_ = now + Milliseconds{random_.below(static_cast<std::uint64_t>(askWithin.count()))};
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
    const bool isNews = !applied.empty();
    publish(std::move(applied), before, now, actions);
    if (isNews) {
        pushToOtherDomains(before, pushedAbroad, now, actions);
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
    const bool isNews = !applied.empty();
    publish(std::move(applied), before, now, actions);
    if (isNews) {
        pushToOtherDomains(before, pushedAbroad, now, actions);
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
    if (isBehind(peer)) {
        reply.delta = state_.deltaFor(peer);
    }
    if (const auto age = freshness_.confirmationAge(now)) {
        reply.confirmation = StoreConfirmation{reply.digest.complete, *age};
    }
    reply.domainAges = freshness_.ages(now);
    return reply;
}

bool ConfigurationGossip::isBehind(const ConfigurationDigest &peer) const noexcept
{
    const auto mine = state_.digest();
    return peer.complete < mine.complete || peer.highest < mine.highest;
}

bool ConfigurationGossip::isKnown(const FailureDomain &domain) const
{
    return std::binary_search(domains_.begin(), domains_.end(), domain);
}

const LiveInstance *ConfigurationGossip::comparePeer()
{
    const bool stray = random_.below(strayEvery) == 0;
    if (isWatcher_ && !remoteWatchers_.empty()) {
        return stray && !localPeers_.empty() ? randomOf(localPeers_) : randomOf(remoteWatchers_[random_.below(remoteWatchers_.size())]);
    }
    if (stray && isRelay_ && !remoteWatchers_.empty()) {
        return randomOf(remoteWatchers_[random_.below(remoteWatchers_.size())]);
    }
    const auto &usual = isRelay_ || relays_.empty() ? watchers_ : relays_;
    return stray || usual.empty() ? randomOf(localPeers_) : randomOf(usual);
}

const LiveInstance *ConfigurationGossip::randomOf(const Peers &peers)
{
    return peers.empty() ? nullptr : peers[random_.below(peers.size())];
}

void ConfigurationGossip::send(const LiveInstance &peer, std::optional<ConfigurationDelta> delta, TimePoint now, GossipActions &actions)
{
    if (exchanges_.size() >= options_.maxExchanges) {
        return;
    }
    const ExchangeId id{++lastExchange_};
    exchanges_[id] = {peer.name, peer.domain, peer.address, now, newestOf(delta)};
    auto request = message();
    request.delta = std::move(delta);
    actions.push_back(SendExchange{id, peer, std::move(request)});
}

void ConfigurationGossip::publish(std::vector<StoredObject> applied,
                                  const ConfigurationDigest &before,
                                  TimePoint now,
                                  GossipActions &actions)
{
    const auto complete = state_.digest().complete;
    const bool isNews = !applied.empty();
    if (isNews || complete > before.complete) {
        actions.push_back(ObjectsChanged{std::move(applied), complete});
    }
    if (isNews) {
        push(before, now, actions);
    }
}

void ConfigurationGossip::push(const ConfigurationDigest &before, TimePoint now, GossipActions &actions)
{
    const auto delta = pushable(before);
    auto peers = localPeers_;
    const auto count = std::min(options_.pushFanOut, peers.size());
    for (std::size_t chosen = 0; chosen < count; ++chosen) {
        std::swap(peers[chosen], peers[chosen + random_.below(peers.size() - chosen)]);
        send(*peers[chosen], delta, now, actions);
    }
}

void ConfigurationGossip::pushToOtherDomains(const ConfigurationDigest &before, std::size_t domains, TimePoint now, GossipActions &actions)
{
    const auto delta = pushable(before);
    auto targets = remoteWatchers_;
    const auto count = std::min(domains, targets.size());
    for (std::size_t chosen = 0; chosen < count; ++chosen) {
        std::swap(targets[chosen], targets[chosen + random_.below(targets.size() - chosen)]);
        if (const auto *peer = randomOf(targets[chosen])) {
            send(*peer, delta, now, actions);
        }
    }
}

std::optional<ConfigurationDelta> ConfigurationGossip::pushable(const ConfigurationDigest &before) const
{
    auto delta = state_.deltaFor(before);
    if (delta.isFullState || sizeOf(delta) > options_.maxPushBytes) {
        // The peer's reply shows what it lacks.
        return std::nullopt;
    }
    return delta;
}

void ConfigurationGossip::applyReply(const GossipMessage &reply, TimePoint sentAt)
{
    const auto mine = state_.digest();
    // Signs of life count only along with all that the peer knew.
    if (mine.complete < reply.digest.complete || reply.domainAges.empty()) {
        return;
    }
    freshness_.onConfigurationLoaded();
    if (reply.confirmation && reply.confirmation->revision <= mine.complete) {
        freshness_.onStoreConfirmation(sentAt - reply.confirmation->age);
    }
    for (const auto &entry : reply.domainAges) {
        freshness_.onContact(entry.domain, sentAt - entry.age);
    }
}

void ConfigurationGossip::recordDomainRevision(const FailureDomain &domain, Revision revision)
{
    if (!isKnown(domain)) {
        return;
    }
    auto &held = domainRevisions_[domain];
    held = std::max(held, revision);
}

} // namespace cardamomstep
