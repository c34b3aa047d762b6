// Chooses the calls to the store and classifies its replies.
#include "store/watchresume.h"

namespace cardamomstep {

StoreStep WatchResume::next(Revision complete, TimePoint now) const
{
    if (now < nextCallAt_) {
        return DelayUntil{nextCallAt_};
    }
    const bool nothingKnown = !listed_ && complete.value == 0;
    if (relistRequired_ || nothingKnown) {
        return ListAll{};
    }
    return WatchAfter{complete, options_.watchTimeout};
}

StoreReplyKind WatchResume::onListing(const StoreListing &listing, Revision complete, TimePoint now)
{
    const auto kind = classify(listing.revision, complete, now);
    if (kind == StoreReplyKind::Current) {
        listed_ = true;
        relistRequired_ = false;
    }
    return kind;
}

StoreReplyKind WatchResume::onChanges(const StoreChanges &changes, Revision complete, TimePoint now)
{
    if (changes.tooOld) {
        relistRequired_ = true;
        return StoreReplyKind::TooOld;
    }
    return classify(changes.revision, complete, now);
}

void WatchResume::onFailure(TimePoint now)
{
    nextCallAt_ = now + backoff_.next(random_);
}

StoreReplyKind WatchResume::classify(Revision revision, Revision complete, TimePoint now)
{
    if (revision < complete) {
        onFailure(now);
        return StoreReplyKind::Stale;
    }
    backoff_.reset();
    return StoreReplyKind::Current;
}

} // namespace cardamomstep
