// Decides from the ages of store confirmations and of contacts with peers whether a proxy's configuration is current.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "configuration/fwd.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace cardamomstep {

/// How current a proxy's configuration is known to be.
enum class ConfigurationFreshnessState : std::uint8_t {
    Starting, ///< No full configuration yet: not ready, no work is accepted.
    Current, ///< The store confirmed it recently, to this proxy or through a chain of peers.
    StoreSilent, ///< No recent confirmation, but contact with a majority of the failure domains: work continues.
    Isolated, ///< Neither: newer changes may be in force elsewhere. Not ready; new work is refused with ErrorKind::NotReady.
};

/// Returns "starting", "current", "store-silent" or "isolated".
[[nodiscard]] std::string_view toText(ConfigurationFreshnessState state) noexcept;

/// Limits of a ConfigurationFreshness.
struct ConfigurationFreshnessOptions {
    /// Maximum age at which a confirmation or a contact still counts.
    Milliseconds maxAge{10'000};
    /// The maximum number of failure domains tracked.
    std::size_t maxDomains = 64;
};

/// Time since the last contact with a failure domain.
struct DomainAge {
    FailureDomain domain;
    Milliseconds age{0};

    [[nodiscard]] bool operator==(const DomainAge &) const = default;
};

/// Tracks the last confirmation by the store and the last contact with each failure domain.
///
/// All times are those at which a request was sent, never those at which its reply arrived. Thus neither a process pause nor a reply
/// that waited in a buffer makes old information look fresh.
class ConfigurationFreshness
{
public:
    ConfigurationFreshness(FailureDomain ownDomain, ConfigurationFreshnessOptions options)
        : ownDomain_(std::move(ownDomain))
        , options_(options)
    {
    }

    /// Sets what the platform lists: the number of failure domains, including this one, and whether there are any other proxies.
    void setListed(std::size_t domains, bool hasPeers) noexcept;

    /// Records that a full configuration is known.
    void onConfigurationLoaded() noexcept
    {
        loaded_ = true;
    }

    /// Records that at \a time the store held nothing newer than what is known here.
    void onStoreConfirmation(TimePoint time);

    /// Records that at \a time a proxy of \a domain was alive and that everything it knew then is known here.
    void onContact(const FailureDomain &domain, TimePoint time);

    [[nodiscard]] ConfigurationFreshnessState state(TimePoint now) const;

    /// Returns true when more than half of the listed failure domains were contacted within `maxAge`; the own one always counts.
    ///
    /// Where other proxies exist, at least one of them must have been contacted.
    [[nodiscard]] bool hasMajorityContact(TimePoint now) const;

    /// Returns the age of the newest confirmation, or nothing when there is none within `maxAge`.
    [[nodiscard]] std::optional<Milliseconds> confirmationAge(TimePoint now) const;

    /// Returns the failure domains contacted within `maxAge`; the own one comes first with age zero.
    [[nodiscard]] std::vector<DomainAge> ages(TimePoint now) const;

private:
    [[nodiscard]] bool isFresh(TimePoint time, TimePoint now) const noexcept;

    FailureDomain ownDomain_;
    ConfigurationFreshnessOptions options_;
    std::size_t listedDomains_ = 1;
    bool hasPeers_ = false;
    bool loaded_ = false;
    std::optional<TimePoint> confirmedAt_;
    /// Invariant: at most `options_.maxDomains` entries.
    std::map<FailureDomain, TimePoint> lastContactAt_;
};

} // namespace cardamomstep
