// Whether this proxy can know that its configuration is current, and what it does when it cannot.
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

/// What a proxy can know about its configuration.
enum class CurrencyState : std::uint8_t {
    Starting, ///< No whole configuration yet: not ready, no work.
    Current, ///< The store confirmed it a short time ago, to this proxy or along a chain of peers.
    StoreSilent, ///< The store confirms nothing, but a majority of the failure domains is heard: work goes on.
    Isolated, ///< Neither: changes may be in force elsewhere. Not ready, new work is refused as ErrorKind::NotReady.
};

/// "starting", "current", "store-silent" or "isolated".
[[nodiscard]] std::string_view toText(CurrencyState state) noexcept;

/// Limits of a Currency.
struct CurrencyOptions {
    /// Longest time that a confirmation or a sign of life holds.
    Milliseconds bound{10'000};
    /// Most failure domains that are tracked.
    std::size_t domains = 64;
};

/// How long ago a failure domain was heard.
struct DomainAge {
    FailureDomain domain;
    Milliseconds age{0};

    [[nodiscard]] bool operator==(const DomainAge &) const = default;
};

/// Tracks when the store and each failure domain were last heard.
///
/// All times are those of a request's start, never of an answer's arrival, so that a process that was paused, or an answer that lay
/// in a buffer, is never taken for fresh.
class Currency
{
public:
    Currency(FailureDomain home, CurrencyOptions options)
        : home_(std::move(home))
        , options_(options)
    {
    }

    /// Sets what the platform lists: the number of failure domains, this one included, and whether there are other proxies at all.
    void setListed(std::size_t domains, bool hasPeers) noexcept;

    /// A whole configuration is known.
    void started() noexcept
    {
        started_ = true;
    }

    /// At \a time the store held nothing newer than what is known here.
    void confirmed(TimePoint time);

    /// At \a time a proxy of \a domain was alive and what it knew is known here.
    void heard(const FailureDomain &domain, TimePoint time);

    [[nodiscard]] CurrencyState state(TimePoint now) const;

    /// True when more than half of the listed failure domains were heard within the bound.
    [[nodiscard]] bool hearsMajority(TimePoint now) const;

    /// Age of the newest confirmation; nothing when there is none within the bound.
    [[nodiscard]] std::optional<Milliseconds> confirmationAge(TimePoint now) const;

    /// The failure domains heard within the bound, this one first with age zero.
    [[nodiscard]] std::vector<DomainAge> ages(TimePoint now) const;

private:
    [[nodiscard]] bool isFresh(TimePoint time, TimePoint now) const noexcept;

    FailureDomain home_;
    CurrencyOptions options_;
    std::size_t listedDomains_ = 1;
    bool hasPeers_ = false;
    bool started_ = false;
    std::optional<TimePoint> confirmedAt_;
    /// Invariant: at most `options_.domains` entries.
    std::map<FailureDomain, TimePoint> heardAt_;
};

} // namespace cardamomstep
