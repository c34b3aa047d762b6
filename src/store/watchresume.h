// Decides how one proxy keeps up with the store: list, watch or wait.
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

/// Classification of one reply of the store.
enum class StoreReplyKind : std::uint8_t {
    Current, ///< At least as new as everything known here.
    Stale, ///< Older than what is known here; an object missing from it is not known to be deleted.
    TooOld, ///< The store cannot resume from the requested revision.
    Failed, ///< No usable reply.
};

/// Limits of a WatchResume.
struct WatchResumeOptions {
    /// Maximum wait of one watch; each reply, even an empty one, confirms that the configuration is current.
    Milliseconds watchTimeout{1000};
    /// Delays after failures and stale replies.
    BackoffOptions backoff{Milliseconds{100}, Milliseconds{5000}};
};

/// Keeps up with the store's changes.
///
/// Lists when nothing is known and after a 410; then watches from the revision up to which everything is known. A reply from an older
/// state of the store is reported as stale, and the call is repeated after a delay.
class WatchResume
{
public:
    WatchResume(WatchResumeOptions options, std::uint64_t seed)
        : options_(options)
        , random_(seed)
    {
    }

    /// Returns the next call, given that all changes up to \a complete are known (0: none).
    [[nodiscard]] StoreStep next(Revision complete, TimePoint now) const;

    /// Classifies a listing; \a complete is what was known before it.
    StoreReplyKind onListing(const StoreListing &listing, Revision complete, TimePoint now);

    /// Classifies the reply to a watch.
    StoreReplyKind onChanges(const StoreChanges &changes, Revision complete, TimePoint now);

    /// Records a call without a usable reply.
    void onFailure(TimePoint now);

    /// Makes the next call a listing, not before \a notBefore.
    void requireListing(TimePoint notBefore) noexcept
    {
        relistRequired_ = true;
        nextCallAt_ = notBefore;
    }

    /// Sets the maximum wait of later watches.
    void setWatchTimeout(Milliseconds wait) noexcept
    {
        options_.watchTimeout = wait;
    }

    /// The number of consecutive failures and stale replies.
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
    /// True after the first current listing; needed because an empty store has revision 0.
    bool listed_ = false;
    /// True after a 410 until the next current listing.
    bool relistRequired_ = false;
};

} // namespace cardamomstep
