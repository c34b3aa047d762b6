// Evaluates the ages of store confirmations and of contacts with peers.
#include "configuration/configurationfreshness.h"

#include <algorithm>

namespace cardamomstep {

std::string_view toText(ConfigurationFreshnessState state) noexcept
{
    switch (state) {
    case ConfigurationFreshnessState::Starting:
        return "starting";
    case ConfigurationFreshnessState::Current:
        return "current";
    case ConfigurationFreshnessState::StoreSilent:
        return "store-silent";
    case ConfigurationFreshnessState::Isolated:
        break;
    }
    return "isolated";
}

void ConfigurationFreshness::setListed(std::size_t domains, bool hasPeers) noexcept
{
    listedDomains_ = std::max<std::size_t>(domains, 1);
    hasPeers_ = hasPeers;
}

void ConfigurationFreshness::onStoreConfirmation(TimePoint time)
{
    confirmedAt_ = confirmedAt_ ? std::max(*confirmedAt_, time) : time;
}

void ConfigurationFreshness::onContact(const FailureDomain &domain, TimePoint time)
{
    const auto known = lastContactAt_.find(domain);
    if (known != lastContactAt_.end()) {
        known->second = std::max(known->second, time);
        return;
    }
    if (lastContactAt_.size() < options_.maxDomains) {
        lastContactAt_.emplace(domain, time);
    }
}

ConfigurationFreshnessState ConfigurationFreshness::state(TimePoint now) const
{
    if (!loaded_) {
        return ConfigurationFreshnessState::Starting;
    }
    if (confirmedAt_ && isFresh(*confirmedAt_, now)) {
        return ConfigurationFreshnessState::Current;
    }
    return hasMajorityContact(now) ? ConfigurationFreshnessState::StoreSilent : ConfigurationFreshnessState::Isolated;
}

bool ConfigurationFreshness::hasMajorityContact(TimePoint now) const
{
    std::size_t otherDomains = 0;
    // Where there are no other proxies, none must have been contacted.
    bool hasRequiredPeerContact = !hasPeers_;
    for (const auto &[domain, time] : lastContactAt_) {
        if (isFresh(time, now)) {
            hasRequiredPeerContact = true;
            otherDomains += domain == ownDomain_ ? 0 : 1;
        }
    }
    const auto contactedDomains = otherDomains + 1;
    return hasRequiredPeerContact && contactedDomains * 2 > listedDomains_;
}

std::optional<Milliseconds> ConfigurationFreshness::confirmationAge(TimePoint now) const
{
    if (!confirmedAt_ || !isFresh(*confirmedAt_, now)) {
        return std::nullopt;
    }
    return wholeMilliseconds(now - *confirmedAt_);
}

std::vector<DomainAge> ConfigurationFreshness::ages(TimePoint now) const
{
    std::vector<DomainAge> ages{{ownDomain_, Milliseconds{0}}};
    for (const auto &[domain, time] : lastContactAt_) {
        if (domain != ownDomain_ && isFresh(time, now)) {
            ages.push_back({domain, wholeMilliseconds(now - time)});
        }
    }
    return ages;
}

bool ConfigurationFreshness::isFresh(TimePoint time, TimePoint now) const noexcept
{
    return now - time <= options_.maxAge;
}

} // namespace cardamomstep
