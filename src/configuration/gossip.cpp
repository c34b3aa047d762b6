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

ConfigurationSpread::ConfigurationSpread(SpreadOptions options)
    : options_(std::move(options))
    , random_(options_.seed)
    , state_(options_.limits)
    , currency_(options_.domain, options_.currency)
    , watch_(options_.watch, random_())
    , ask_(askOptions, random_())
{
}

void ConfigurationSpread::setInstances(std::shared_ptr<const InstanceSet> live, std::size_t listedDomains)
{
    live_ = std::move(live);
    home_.clear();
    relays_.clear();
    abroad_.clear();
    watchers_ = live_->best(watchPurpose, options_.domain, options_.watchers);
    const auto isSelf = [this](const LiveInstance *peer) {
        return peer->name == options_.self;
    };
    for (const auto &instance : live_->instances()) {
        if (instance.domain == options_.domain && instance.name != options_.self) {
            home_.push_back(&instance);
        }
    }
    // As many comparisons for each watcher as for each relay.
    const auto relays = static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(options_.watchers * (home_.size() + 1)))));
    relays_ = live_->best(watchPurpose, options_.domain, std::max(relays, options_.watchers));
    isWatcher_ = std::any_of(watchers_.begin(), watchers_.end(), isSelf);
    isRelay_ = std::any_of(relays_.begin(), relays_.end(), isSelf);
    // Watchers stand first among the relays; they are busy enough with the other relays.
    relays_.erase(relays_.begin(), relays_.begin() + static_cast<std::ptrdiff_t>(watchers_.size()));
    watchers_.erase(std::remove_if(watchers_.begin(), watchers_.end(), isSelf), watchers_.end());
    relays_.erase(std::remove_if(relays_.begin(), relays_.end(), isSelf), relays_.end());
    domains_ = live_->domains();
    for (const auto &domain : domains_) {
        if (domain != options_.domain) {
            abroad_.push_back(live_->best(watchPurpose, domain, options_.watchers));
        }
    }
    for (auto entry = held_.begin(); entry != held_.end();) {
        entry = isKnown(entry->first) ? std::next(entry) : held_.erase(entry);
    }
    currency_.setListed(std::max(listedDomains, domains_.size()), !home_.empty() || !abroad_.empty());
}

SpreadActions ConfigurationSpread::tick(TimePoint now)
{
    SpreadActions actions;
    if (!nextCompare_) {
        // The first comparison comes at once: a proxy that starts needs the configuration.
        nextCompare_ = now;
    }
    if (now < *nextCompare_) {
        return actions;
    }
    const auto jitter = random_.below(static_cast<std::uint64_t>(options_.period.count()) / 4 + 1);
    nextCompare_ = now + options_.period - options_.period / 8 + Milliseconds{jitter};
    if (const auto *peer = comparePeer()) {
        send(*peer, std::nullopt, now, actions);
    }
    return actions;
}

SpreadHandled ConfigurationSpread::onRequest(const SpreadMessage &request, TimePoint now)
{
    SpreadHandled handled;
    const auto before = state_.digest();
    if (request.delta) {
        publish(state_.applyDelta(*request.delta), before, now, handled.actions);
    }
    noteHolding(request.domain, request.digest.complete);
    const auto mine = state_.digest();
    const bool sameRevisions = mine.complete == request.digest.complete && mine.highest == request.digest.highest;
    const bool settled = mine.highest == mine.complete;
    divergences_ += sameRevisions && settled && mine.hash != request.digest.hash ? 1 : 0;
    handled.reply = request.delta ? message() : replyTo(request.digest, now);
    return handled;
}

SpreadActions ConfigurationSpread::onReply(ExchangeId id, const SpreadMessage &reply, TimePoint now)
{
    SpreadActions actions;
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
    noteHolding(exchange.domain, std::max(exchange.pushed, reply.digest.complete));
    takeFromReply(reply, exchange.sentAt);
    if (lacks(reply.digest)) {
        send({exchange.to, exchange.domain, exchange.address}, state_.deltaFor(reply.digest), now, actions);
    }
    return actions;
}

void ConfigurationSpread::onExchangeFailed(ExchangeId id)
{
    exchanges_.erase(id);
}

StoreStep ConfigurationSpread::nextStoreStep(TimePoint now)
{
    if (isWatcher_) {
        return watch_.next(state_.digest().complete, now);
    }
    const auto age = currency_.confirmationAge(now);
    if (age && *age < options_.askStoreAfter) {
        askAt_.reset();
        return PauseUntil{now + options_.period};
    }
    if (!askAt_) {
        // Peers come first, and many proxies may miss them at the same time.
        askAt_ = now + Milliseconds{random_.below(static_cast<std::uint64_t>(askWithin.count()))};
    }
    if (now < *askAt_) {
        return PauseUntil{*askAt_};
    }
    return ask_.next(state_.digest().complete, now);
}

SpreadActions ConfigurationSpread::onListing(const StoreListing &listing, TimePoint calledAt, TimePoint now)
{
    SpreadActions actions;
    const auto before = state_.digest();
    if (following().onListing(listing, before.complete, now) != StoreAnswer::Current) {
        return actions;
    }
    auto applied = state_.applyListing(listing);
    currency_.started();
    currency_.confirmed(calledAt);
    const bool isNews = !applied.empty();
    publish(std::move(applied), before, now, actions);
    if (isNews) {
        pushAbroad(before, pushedAbroad, now, actions);
    }
    return actions;
}

SpreadActions ConfigurationSpread::onChanges(const StoreChanges &changes, TimePoint calledAt, TimePoint now)
{
    SpreadActions actions;
    const auto before = state_.digest();
    if (following().onChanges(changes, before.complete, now) != StoreAnswer::Current) {
        return actions;
    }
    auto applied = state_.applyChanges(changes);
    if (changes.revision <= state_.digest().complete) {
        currency_.confirmed(calledAt);
    }
    const bool isNews = !applied.empty();
    publish(std::move(applied), before, now, actions);
    if (isNews) {
        pushAbroad(before, pushedAbroad, now, actions);
    }
    return actions;
}

void ConfigurationSpread::onStoreFailure(TimePoint now)
{
    following().onFailure(now);
}

SpreadActions ConfigurationSpread::onAccepted(const StoredObject &change, TimePoint now)
{
    SpreadActions actions;
    const auto before = state_.digest();
    if (!state_.applyChange(change)) {
        return actions;
    }
    publish({change}, before, now, actions);
    pushAbroad(before, abroad_.size(), now, actions);
    return actions;
}

std::size_t ConfigurationSpread::domainsHolding(Revision revision) const
{
    const auto others = std::count_if(
        held_.begin(), held_.end(), [&](const auto &entry) { return entry.first != options_.domain && entry.second >= revision; });
    return static_cast<std::size_t>(others) + 1;
}

SpreadMessage ConfigurationSpread::message() const
{
    return {options_.self, options_.domain, state_.digest(), std::nullopt, std::nullopt, {}};
}

SpreadMessage ConfigurationSpread::replyTo(const ConfigurationDigest &peer, TimePoint now) const
{
    auto reply = message();
    if (currency_.state(now) == CurrencyState::Starting) {
        return reply;
    }
    if (lacks(peer)) {
        reply.delta = state_.deltaFor(peer);
    }
    if (const auto age = currency_.confirmationAge(now)) {
        reply.confirmation = StoreConfirmation{reply.digest.complete, *age};
    }
    reply.heard = currency_.ages(now);
    return reply;
}

bool ConfigurationSpread::lacks(const ConfigurationDigest &peer) const noexcept
{
    const auto mine = state_.digest();
    return peer.complete < mine.complete || peer.highest < mine.highest;
}

bool ConfigurationSpread::isKnown(const FailureDomain &domain) const
{
    return std::binary_search(domains_.begin(), domains_.end(), domain);
}

const LiveInstance *ConfigurationSpread::comparePeer()
{
    const bool stray = random_.below(strayEvery) == 0;
    if (isWatcher_ && !abroad_.empty()) {
        return stray && !home_.empty() ? randomOf(home_) : randomOf(abroad_[random_.below(abroad_.size())]);
    }
    if (stray && isRelay_ && !abroad_.empty()) {
        return randomOf(abroad_[random_.below(abroad_.size())]);
    }
    const auto &usual = isRelay_ || relays_.empty() ? watchers_ : relays_;
    return stray || usual.empty() ? randomOf(home_) : randomOf(usual);
}

const LiveInstance *ConfigurationSpread::randomOf(const Peers &peers)
{
    return peers.empty() ? nullptr : peers[random_.below(peers.size())];
}

void ConfigurationSpread::send(const LiveInstance &peer, std::optional<ConfigurationDelta> delta, TimePoint now, SpreadActions &actions)
{
    if (exchanges_.size() >= options_.exchanges) {
        return;
    }
    const ExchangeId id{++lastExchange_};
    exchanges_[id] = {peer.name, peer.domain, peer.address, now, newestOf(delta)};
    auto request = message();
    request.delta = std::move(delta);
    actions.push_back(SendExchange{id, peer, std::move(request)});
}

void ConfigurationSpread::publish(std::vector<StoredObject> applied,
                                  const ConfigurationDigest &before,
                                  TimePoint now,
                                  SpreadActions &actions)
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

void ConfigurationSpread::push(const ConfigurationDigest &before, TimePoint now, SpreadActions &actions)
{
    const auto delta = pushable(before);
    auto peers = home_;
    const auto count = std::min(options_.fanOut, peers.size());
    for (std::size_t chosen = 0; chosen < count; ++chosen) {
        std::swap(peers[chosen], peers[chosen + random_.below(peers.size() - chosen)]);
        send(*peers[chosen], delta, now, actions);
    }
}

void ConfigurationSpread::pushAbroad(const ConfigurationDigest &before, std::size_t domains, TimePoint now, SpreadActions &actions)
{
    const auto delta = pushable(before);
    auto targets = abroad_;
    const auto count = std::min(domains, targets.size());
    for (std::size_t chosen = 0; chosen < count; ++chosen) {
        std::swap(targets[chosen], targets[chosen + random_.below(targets.size() - chosen)]);
        if (const auto *peer = randomOf(targets[chosen])) {
            send(*peer, delta, now, actions);
        }
    }
}

std::optional<ConfigurationDelta> ConfigurationSpread::pushable(const ConfigurationDigest &before) const
{
    auto delta = state_.deltaFor(before);
    if (delta.whole || sizeOf(delta) > options_.pushBytes) {
        // The peer's reply shows what it lacks.
        return std::nullopt;
    }
    return delta;
}

void ConfigurationSpread::takeFromReply(const SpreadMessage &reply, TimePoint sentAt)
{
    const auto mine = state_.digest();
    // Signs of life count only along with all that the peer knew.
    if (mine.complete < reply.digest.complete || reply.heard.empty()) {
        return;
    }
    currency_.started();
    if (reply.confirmation && reply.confirmation->revision <= mine.complete) {
        currency_.confirmed(sentAt - reply.confirmation->age);
    }
    for (const auto &entry : reply.heard) {
        currency_.heard(entry.domain, sentAt - entry.age);
    }
}

void ConfigurationSpread::noteHolding(const FailureDomain &domain, Revision revision)
{
    if (!isKnown(domain)) {
        return;
    }
    auto &held = held_[domain];
    held = std::max(held, revision);
}

} // namespace cardamomstep
