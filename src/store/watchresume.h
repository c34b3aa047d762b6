// Decides how one proxy follows the store: list, watch or wait.
#pragma once

#include "base/random.h"
#include "base/time.h"
#include "store/backoff.h"
#include "store/object.h"

#include <cstdint>
#include <variant>

namespace cardamomstep {

/// List the objects of all kinds.
struct ListAll {
    [[nodiscard]] bool operator==(const ListAll &) const = default;
};
/// Watch for changes after a revision.
struct WatchAfter {
    Revision after;
    Milliseconds wait{0};
    [[nodiscard]] bool operator==(const WatchAfter &) const = default;
};
/// Make no call before this time.
struct DelayUntil {
    TimePoint time;
    [[nodiscard]] bool operator==(const DelayUntil &) const = default;
};
using StoreStep = std::variant<ListAll, WatchAfter, DelayUntil>;

/// What one answer of the store is worth.
enum class StoreReplyKind : std::uint8_t {
    Current, ///< At least as new as all that is known here.
    Stale, ///< From before what is known here; its missing objects say nothing.
    TooOld, ///< The store cannot resume from the revision asked for.
    Failed, ///< No usable answer.
};

/// Limits of a WatchResume.
struct WatchResumeOptions {
    /// Longest wait of one watch; each answer, also an empty one, confirms that the configuration is current.
    Milliseconds watchTimeout{1000};
    /// Longest first wait, and longest wait of all, after failures.
    BackoffOptions backoff{Milliseconds{100}, Milliseconds{5000}};
};

/// Follows the store's changes.
///
/// Lists first, when nothing is known and after a 410; then watches from the revision up to which all is known. An answer from an
/// older state of the store is told as stale, and is asked for again after a pause.
class WatchResume
{
public:
    WatchResume(WatchResumeOptions options, std::uint64_t seed)
        : options_(options)
        , random_(seed)
    {
    }

    /// The next call, where all changes up to \a complete are known (0: none).
    [[nodiscard]] StoreStep next(Revision complete, TimePoint now) const;

    /// Judges a listing; \a complete is what was known before it.
    StoreReplyKind onListing(const StoreListing &listing, Revision complete, TimePoint now);

    /// Judges the answer to a watch.
    StoreReplyKind onChanges(const StoreChanges &changes, Revision complete, TimePoint now);

    /// Counts a call without a usable answer.
    void onFailure(TimePoint now);

    /// Sets the longest wait of the watches from now on.
    void setWatchTimeout(Milliseconds wait) noexcept
    {
        options_.watchTimeout = wait;
    }

    /// Failures and stale answers in a row.
    [[nodiscard]] unsigned failures() const noexcept
    {
        return backoff_.failures();
    }

private:
    StoreReplyKind classify(Revision revision, Revision complete, TimePoint now);

    WatchResumeOptions options_;
    Random random_;
    Backoff backoff_{options_.backoff};
    TimePoint nextCallAt_;
    /// True until the first listing, unless peers know the configuration; an empty store has revision 0.
    bool listed_ = false;
    /// True after a 410.
    bool relistRequired_ = false;
};

} // namespace cardamomstep
