// Ages of confirmations and signs of life.
#include "configuration/configurationfreshness.h"

#include <algorithm>

namespace cardamomstep {

std::string_view toText(CurrencyState state) noexcept
{
    switch (state) {
    case CurrencyState::Starting:
        return "starting";
    case CurrencyState::Current:
        return "current";
    case CurrencyState::StoreSilent:
        return "store-silent";
    case CurrencyState::Isolated:
        break;
    }
    return "isolated";
}

void Currency::setListed(std::size_t domains, bool hasPeers) noexcept
{
    listedDomains_ = std::max<std::size_t>(domains, 1);
    hasPeers_ = hasPeers;
}

void Currency::confirmed(TimePoint time)
{
    confirmedAt_ = confirmedAt_ ? std::max(*confirmedAt_, time) : time;
}

void Currency::heard(const FailureDomain &domain, TimePoint time)
{
    const auto known = heardAt_.find(domain);
    if (known != heardAt_.end()) {
        known->second = std::max(known->second, time);
        return;
    }
    if (heardAt_.size() < options_.domains) {
        heardAt_.emplace(domain, time);
    }
}

CurrencyState Currency::state(TimePoint now) const
{
    if (!started_) {
        return CurrencyState::Starting;
    }
    if (confirmedAt_ && isFresh(*confirmedAt_, now)) {
        return CurrencyState::Current;
    }
    return hearsMajority(now) ? CurrencyState::StoreSilent : CurrencyState::Isolated;
}

bool Currency::hearsMajority(TimePoint now) const
{
    std::size_t others = 0;
    bool anyPeer = !hasPeers_;
    for (const auto &[domain, time] : heardAt_) {
        if (isFresh(time, now)) {
            anyPeer = true;
            others += domain == home_ ? 0 : 1;
        }
    }
    const auto heardDomains = others + 1;
    return anyPeer && heardDomains * 2 > listedDomains_;
}

std::optional<Milliseconds> Currency::confirmationAge(TimePoint now) const
{
    if (!confirmedAt_ || !isFresh(*confirmedAt_, now)) {
        return std::nullopt;
    }
    return wholeMilliseconds(now - *confirmedAt_);
}

std::vector<DomainAge> Currency::ages(TimePoint now) const
{
    std::vector<DomainAge> ages{{home_, Milliseconds{0}}};
    for (const auto &[domain, time] : heardAt_) {
        if (domain != home_ && isFresh(time, now)) {
            ages.push_back({domain, wholeMilliseconds(now - time)});
        }
    }
    return ages;
}

bool Currency::isFresh(TimePoint time, TimePoint now) const noexcept
{
    return now - time <= options_.bound;
}

} // namespace cardamomstep
