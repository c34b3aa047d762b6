// Tracks failures of the proxies that sessions are forwarded to.
#include "relay/targethealth.h"

#include <algorithm>

namespace cardamomstep::relay {

bool TargetHealth::reachable(const Address &proxy, TimePoint now) const
{
    return !inBackoff({proxy, {}}, now);
}

bool TargetHealth::accepts(const Address &proxy, const CustomerName &customer, TimePoint now) const
{
    return reachable(proxy, now) && !inBackoff({proxy, customer}, now);
}

bool TargetHealth::mayRedirect(const Address &proxy, const CustomerName &customer, TimePoint now)
{
    if (!mayAttempt({proxy, {}}, now) || !mayAttempt({proxy, customer}, now)) {
        return false;
    }
    noteAttempt({proxy, {}}, now);
    noteAttempt({proxy, customer}, now);
    return true;
}

void TargetHealth::onFailed(const Address &proxy, TimePoint now)
{
    failures_[{proxy, {}}] = {now + failureBackoff, now + failureBackoff};
}

void TargetHealth::onRefused(const Address &proxy, const CustomerName &customer, TimePoint now)
{
    failures_[{proxy, customer}] = {now + failureBackoff, now + failureBackoff};
}

bool TargetHealth::onAccepted(const Address &proxy, const CustomerName &customer)
{
    const auto ofProxy = failures_.erase({proxy, {}});
    const auto ofCustomer = failures_.erase({proxy, customer});
    return ofProxy + ofCustomer > 0;
}

bool TargetHealth::expire(TimePoint now)
{
    bool anyExpired = false;
    for (auto &[key, failure] : failures_) {
        if (!failure.expired && now >= failure.until) {
            failure.expired = true;
            anyExpired = true;
        }
    }
    return anyExpired;
}

void TargetHealth::keepOnly(const std::vector<LiveInstance> &proxies)
{
    std::erase_if(failures_, [&proxies](const auto &failure) {
        return std::none_of(proxies.begin(), proxies.end(), [&failure](const auto &proxy) { return proxy.address == failure.first.first; });
    });
}

bool TargetHealth::inBackoff(const Key &key, TimePoint now) const
{
    const auto found = failures_.find(key);
    return found != failures_.end() && now < found->second.until;
}

bool TargetHealth::mayAttempt(const Key &key, TimePoint now) const
{
    const auto found = failures_.find(key);
    return found == failures_.end() || now >= found->second.nextAttempt;
}

void TargetHealth::noteAttempt(const Key &key, TimePoint now)
{
    if (const auto found = failures_.find(key); found != failures_.end()) {
        found->second.nextAttempt = now + failureBackoff;
    }
}

} // namespace cardamomstep::relay
