// What the MembershipView knows of all proxies, and the rumors that it passes on.
#include "membership/view.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cardamomstep {

namespace {

bool ownsGroups(ProxyState state)
{
    return state == ProxyState::Alive || state == ProxyState::Suspect;
}

bool replaces(const MemberUpdate &incoming, const MemberUpdate &known)
{
    if (incoming.incarnation != known.incarnation) {
        return incoming.incarnation > known.incarnation;
    }
    return incoming.state > known.state;
}

bool beforeName(const KnownProxy &proxy, const InstanceName &name)
{
    return proxy.update->instance.name < name;
}

} // namespace

MembershipView::MembershipView(MembershipOptions options)
    : options_(std::move(options))
    , random_(options_.seed)
{
    if (options_.forms.size() > maxSchemaForms) {
        options_.forms.resize(maxSchemaForms);
    }
    MemberUpdate own{options_.self, options_.incarnation, ProxyState::Alive, options_.forms};
    proxies_.push_back({std::make_shared<const MemberUpdate>(std::move(own)), {}, true});
    rumors_[options_.self.name] = 0;
}

void MembershipView::onListed(const std::vector<ListedInstance> &instances, TimePoint now)
{
    listed_.clear();
    listedDomains_.clear();
    for (const auto &entry : instances) {
        if (entry.role != "proxy") {
            continue;
        }
        const InstanceName name{entry.name};
        listed_.push_back(name);
        listedDomains_.push_back(entry.domain);
        const auto *known = find(name);
        const bool leaving = entry.state == ListedState::Leaving;
        if (known == nullptr) {
            const auto state = leaving ? ProxyState::Leaving : ProxyState::Alive;
            set(std::make_shared<const MemberUpdate>(MemberUpdate{{name, entry.domain, entry.address}, 0, state, {}}), now);
        } else if (leaving && ownsGroups(known->update->state)) {
            setState(*known, ProxyState::Leaving, now);
        }
    }
    std::sort(listed_.begin(), listed_.end());
    std::sort(listedDomains_.begin(), listedDomains_.end());
    listedDomains_.erase(std::unique(listedDomains_.begin(), listedDomains_.end()), listedDomains_.end());
    std::vector<InstanceName> unlisted;
    for (const auto &proxy : proxies_) {
        const auto &name = proxy.update->instance.name;
        if (proxy.update->state == ProxyState::Leaving && !isListed(name) && !isSelf(name)) {
            unlisted.push_back(name);
        }
    }
    for (const auto &name : unlisted) {
        setState(*find(name), ProxyState::Dead, now);
    }
}

MembershipActions MembershipView::tick(TimePoint now)
{
    MembershipActions actions;
    checkProbes(now, actions);
    checkSuspects(now);
    removeExpiredDead(now);
    fetchSnapshot(now, actions);
    if (!nextPing_) {
        nextPing_ = now + Milliseconds{random_.below(static_cast<std::uint64_t>(options_.pingPeriod.count()))};
    }
    if (now >= *nextPing_) {
        nextPing_ = std::max(*nextPing_ + options_.pingPeriod, now);
        ping(now, actions);
    }
    return actions;
}

MembershipMessage MembershipView::onPing(const MembershipMessage &ping, TimePoint now)
{
    applyMessage(ping, now);
    const auto *sender = find(ping.from);
    auto ack = messageTo(sender);
    if (ping.requestReceiverUpdate) {
        ack.updates.push_back(ownUpdate());
    }
    return ack;
}

void MembershipView::onAck(PingId id, const MembershipMessage &ack, TimePoint now)
{
    const auto probe = probes_.find(id);
    const bool expected = probe != probes_.end() && probe->second.target == ack.from;
    if (expected) {
        probes_.erase(probe);
    }
    applyMessage(ack, now);
}

void MembershipView::onRefused(PingId id, TimePoint now)
{
    const auto probe = probes_.find(id);
    if (probe == probes_.end()) {
        return;
    }
    suspect(probe->second.target, now);
    probes_.erase(probe);
}

std::vector<SharedUpdate> MembershipView::snapshot() const
{
    std::vector<SharedUpdate> updates;
    updates.reserve(proxies_.size());
    for (const auto &proxy : proxies_) {
        updates.push_back(proxy.update);
    }
    return updates;
}

void MembershipView::onSnapshot(const std::vector<SharedUpdate> &updates, TimePoint now)
{
    for (const auto &update : updates) {
        applyUpdate(update, now);
    }
}

bool MembershipView::isLeaving() const
{
    return ownUpdate()->state == ProxyState::Leaving;
}

void MembershipView::leave(TimePoint now)
{
    setState(*find(options_.self.name), ProxyState::Leaving, now);
}

void MembershipView::recordConfiguration(const InstanceName &name, Revision revision)
{
    if (auto *proxy = findMutable(name)) {
        proxy->configuration = std::max(proxy->configuration, revision);
    }
}

std::shared_ptr<const InstanceSet> MembershipView::owners()
{
    if (ownersGeneration_ != generation_) {
        std::vector<LiveInstance> instances;
        for (const auto &proxy : proxies_) {
            if (ownsGroups(proxy.update->state)) {
                instances.push_back(proxy.update->instance);
            }
        }
        owners_ = std::make_shared<const InstanceSet>(std::move(instances));
        ownersGeneration_ = generation_;
    }
    return owners_;
}

const KnownProxy *MembershipView::find(const InstanceName &name) const
{
    const auto position = std::lower_bound(proxies_.begin(), proxies_.end(), name, beforeName);
    return position == proxies_.end() || position->update->instance.name != name ? nullptr : &*position;
}

KnownProxy *MembershipView::findMutable(const InstanceName &name)
{
    const auto position = std::lower_bound(proxies_.begin(), proxies_.end(), name, beforeName);
    return position == proxies_.end() || position->update->instance.name != name ? nullptr : &*position;
}

std::size_t MembershipView::listedDomains() const
{
    if (!listedDomains_.empty()) {
        return listedDomains_.size();
    }
    std::vector<FailureDomain> domains;
    for (const auto &proxy : proxies_) {
        domains.push_back(proxy.update->instance.domain);
    }
    std::sort(domains.begin(), domains.end());
    return static_cast<std::size_t>(std::unique(domains.begin(), domains.end()) - domains.begin());
}

std::vector<InstanceName> MembershipView::cannotRead(const SchemaForm &form) const
{
    std::vector<InstanceName> names;
    for (const auto &proxy : proxies_) {
        const auto &forms = proxy.update->forms;
        const bool reads = std::find(forms.begin(), forms.end(), form) != forms.end();
        if (proxy.update->state != ProxyState::Dead && !reads) {
            names.push_back(proxy.update->instance.name);
        }
    }
    return names;
}

std::vector<InstanceName> MembershipView::behind(Revision revision) const
{
    std::vector<InstanceName> names;
    for (const auto &proxy : proxies_) {
        const auto known = isSelf(proxy.update->instance.name) ? configuration_ : proxy.configuration;
        if (proxy.update->state != ProxyState::Dead && known < revision) {
            names.push_back(proxy.update->instance.name);
        }
    }
    return names;
}

MembershipMessage MembershipView::messageTo(const KnownProxy *receiver)
{
    MembershipMessage message{options_.self.name, configuration_, false, {}};
    if (receiver != nullptr) {
        message.requestReceiverUpdate = !receiver->contacted;
        const auto state = receiver->update->state;
        if (state == ProxyState::Suspect || state == ProxyState::Dead) {
            // Lets the receiver refute that it is suspect or dead.
            message.updates.push_back(receiver->update);
        }
    }
    for (auto &rumor : nextRumors()) {
        message.updates.push_back(std::move(rumor));
    }
    return message;
}

std::vector<SharedUpdate> MembershipView::nextRumors()
{
    std::vector<std::pair<std::size_t, const InstanceName *>> order;
    order.reserve(rumors_.size());
    for (const auto &[name, sent] : rumors_) {
        order.emplace_back(sent, &name);
    }
    const auto count = std::min(order.size(), options_.maxUpdatesPerMessage);
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count), order.end());
    order.resize(count);
    std::vector<SharedUpdate> updates;
    std::vector<InstanceName> exhausted;
    for (const auto &[sent, name] : order) {
        updates.push_back(find(*name)->update);
        if (++rumors_[*name] >= rumorLimit()) {
            exhausted.push_back(*name);
        }
    }
    for (const auto &name : exhausted) {
        rumors_.erase(name);
    }
    return updates;
}

std::size_t MembershipView::rumorLimit() const
{
    const auto doublings = std::ceil(std::log2(static_cast<double>(proxies_.size() + 1)));
    return options_.retransmitMultiplier * static_cast<std::size_t>(doublings);
}

bool MembershipView::isListed(const InstanceName &name) const
{
    return std::binary_search(listed_.begin(), listed_.end(), name);
}

SharedUpdate MembershipView::ownUpdate() const
{
    return find(options_.self.name)->update;
}

bool MembershipView::applyUpdate(const SharedUpdate &update, TimePoint now)
{
    const auto &name = update->instance.name;
    if (isSelf(name)) {
        refute(*update, now);
        return false;
    }
    if (update->forms.size() > maxSchemaForms) {
        return false;
    }
    const auto *known = find(name);
    const bool isNewer = known == nullptr ? update->state != ProxyState::Dead : replaces(*update, *known->update);
    return isNewer && set(update, now);
}

void MembershipView::applyMessage(const MembershipMessage &message, TimePoint now)
{
    for (const auto &update : message.updates) {
        if (applyUpdate(update, now)) {
            disseminate(update->instance.name);
        }
    }
    recordConfiguration(message.from, message.configuration);
}

void MembershipView::refute(const MemberUpdate &update, TimePoint now)
{
    const auto own = ownUpdate();
    if (!replaces(update, *own)) {
        return;
    }
    if (update.state == ProxyState::Leaving) {
        // The platform's list marks this proxy as leaving, and another proxy has read the list first.
        leave(now);
        return;
    }
    auto refuted = *own;
    refuted.incarnation = update.incarnation + 1;
    set(std::make_shared<const MemberUpdate>(std::move(refuted)), now);
    disseminate(options_.self.name);
}

void MembershipView::disseminate(const InstanceName &name)
{
    rumors_[name] = 0;
}

bool MembershipView::set(SharedUpdate update, TimePoint now)
{
    const auto name = update->instance.name;
    const auto position = std::lower_bound(proxies_.begin(), proxies_.end(), name, beforeName);
    const bool isKnown = position != proxies_.end() && position->update->instance.name == name;
    if (!isKnown && proxies_.size() >= options_.maxProxies) {
        return false;
    }
    const auto state = update->state;
    // Incarnation 0 means that the update comes from the platform's list only.
    const bool contacted = update->incarnation > 0;
    bool ownersChange = ownsGroups(state);
    if (isKnown) {
        const auto &before = *position->update;
        ownersChange = ownsGroups(before.state) != ownsGroups(state) || before.instance != update->instance;
        if (before.incarnation < update->incarnation) {
            // Possibly a new process, which has no configuration yet.
            position->configuration = {};
        }
        position->update = std::move(update);
        position->contacted = contacted;
    } else {
        proxies_.insert(position, KnownProxy{std::move(update), {}, contacted});
    }
    generation_ += ownersChange ? 1 : 0;
    rumors_.erase(name);
    suspects_.erase(name);
    dead_.erase(name);
    if (state == ProxyState::Suspect) {
        suspects_[name] = now + options_.suspicionTimeout;
    } else if (state == ProxyState::Dead) {
        dead_[name] = now;
    }
    return true;
}

void MembershipView::setState(const KnownProxy &proxy, ProxyState state, TimePoint now)
{
    auto changed = *proxy.update;
    changed.state = state;
    const auto name = changed.instance.name;
    if (set(std::make_shared<const MemberUpdate>(std::move(changed)), now)) {
        disseminate(name);
    }
}

void MembershipView::suspect(const InstanceName &name, TimePoint now)
{
    const auto *known = find(name);
    if (known != nullptr && known->update->state == ProxyState::Alive) {
        setState(*known, ProxyState::Suspect, now);
    } else if (known != nullptr && known->update->state == ProxyState::Leaving) {
        setState(*known, ProxyState::Dead, now);
    }
}

void MembershipView::removeExpiredDead(TimePoint now)
{
    for (auto entry = dead_.begin(); entry != dead_.end();) {
        const auto &[name, since] = *entry;
        if (isListed(name) || now - since < options_.deadRetention) {
            ++entry;
            continue;
        }
        rumors_.erase(name);
        proxies_.erase(std::lower_bound(proxies_.begin(), proxies_.end(), name, beforeName));
        entry = dead_.erase(entry);
    }
}

} // namespace cardamomstep
