// Decides whether a proxy gets the catalog from the store or with the renewals of its primary table.
#pragma once

#include "base/time.h"
#include "store/object.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace cardamomstep {

/// The parts of the catalog.
enum class CatalogPart : std::uint8_t {
    Configuration,
    Members,
    Proxies,
};
inline constexpr std::size_t catalogParts = 3;

[[nodiscard]] constexpr std::size_t indexOf(CatalogPart part) noexcept
{
    return static_cast<std::size_t>(part);
}

/// Limits of a CatalogSource.
struct CatalogSourceLimits {
    /// Time without a renewal, or without one from a proxy whose catalog the store confirmed, after which the store is watched.
    Milliseconds silenceTimeout{1500};
    /// Time in which a change must arrive after another proxy reported its revision.
    Milliseconds arrivalTimeout{500};
    /// Added for a proxy that others do not renew at, except where no renewal succeeds at all: its source falls back first, so that one
    /// fallback serves all below it.
    Milliseconds leafMargin{750};
    /// Time in which a change must arrive that the source announced and sends later, or that is being listed.
    Milliseconds deferredTimeout{2000};
    /// Renewals must have succeeded for this long before the store is no longer watched.
    Milliseconds returnAfter{5000};
    /// Longest such time; it doubles with each fallback that follows a return within it.
    Milliseconds maxReturnAfter{40'000};
    /// Time between two decisions from which the process counts as having been paused.
    Milliseconds pauseThreshold{500};
    /// After a pause, the time for a renewal to succeed.
    Milliseconds afterPause{750};
};

/// Why the store is watched.
enum class CatalogWatchReason : std::uint8_t {
    None, ///< It is not watched.
    Watcher, ///< On behalf of others.
    Silence, ///< No confirmed renewal.
    Missed, ///< A reported change did not arrive.
};

[[nodiscard]] std::string_view toText(CatalogWatchReason reason) noexcept;

/// The decision of one proxy. Time is passed in.
///
/// A watcher watches the store on behalf of others. Any other proxy does so only from the time when renewals stop bringing the catalog
/// until they have succeeded again for a while.
class CatalogSource
{
public:
    explicit CatalogSource(const CatalogSourceLimits &limits = {})
        : limits_(limits)
    {
    }

    /// Starts to wait for the first renewal.
    void start(TimePoint now) noexcept;

    /// Sets whether this proxy watches on behalf of others, and whether others renew at it.
    void setRole(bool watcher, bool intermediate) noexcept
    {
        watcher_ = watcher;
        margin_ = intermediate || watcher ? Milliseconds{0} : limits_.leafMargin;
    }

    /// Records a granted renewal; \a confirmedAt is when the store last replied to the watcher from which the catalog comes.
    void onRenewed(TimePoint confirmedAt, TimePoint now) noexcept;

    /// Records that another proxy knows a change at \a newest while all changes up to \a complete are known here.
    void onReported(CatalogPart part, Revision newest, Revision complete, TimePoint now) noexcept;

    /// Records that the source will send the changes of \a part later, so that they may take longer to arrive.
    void onDeferred(CatalogPart part, TimePoint now) noexcept;

    /// Records that the source does not send \a part because it is too large; listingDue() is true until it is listed up to \a revision.
    void onWithheld(CatalogPart part, Revision revision, TimePoint now) noexcept;

    /// Records that all changes of \a part up to \a complete are known here.
    void onComplete(CatalogPart part, Revision complete) noexcept;

    /// True if \a part is to be listed once although the store is not watched.
    [[nodiscard]] bool listingDue(CatalogPart part) const noexcept
    {
        return parts_[indexOf(part)].listUpTo.value != 0;
    }

    /// Returns whether the store is to be watched from \a now on, and why.
    [[nodiscard]] CatalogWatchReason decide(TimePoint now) noexcept;

    /// When the store last confirmed the catalog that the renewals bring.
    [[nodiscard]] TimePoint confirmedAt() const noexcept
    {
        return confirmedAt_;
    }

private:
    struct Part {
        /// Revision of the change that is waited for; 0 for none.
        Revision awaited;
        /// The change must arrive before this time.
        TimePoint awaitedUntil;
        TimePoint awaitedSince;
        Revision listUpTo;
    };

    [[nodiscard]] bool missed(TimePoint now) const noexcept;
    void fallBack(CatalogWatchReason reason, TimePoint now) noexcept;
    void decideReturn(TimePoint now) noexcept;

    CatalogSourceLimits limits_;
    bool watcher_ = false;
    Milliseconds margin_{0};
    CatalogWatchReason fallback_ = CatalogWatchReason::None;
    TimePoint confirmedAt_;
    TimePoint renewedAt_;
    TimePoint lastDecision_;
    /// Since when renewals have succeeded without a break.
    TimePoint succeedingSince_;
    Milliseconds returnAfter_{limits_.returnAfter};
    TimePoint returnedAt_;
    std::array<Part, catalogParts> parts_;
};

} // namespace cardamomstep
