// Steps of following the store.
#include "store/watchresume.h"

namespace cardamomstep {

StoreStep WatchResume::next(Revision complete, TimePoint now) const
{
    if (now < pausedUntil_) {
        return PauseUntil{pausedUntil_};
    }
    const bool nothingKnown = !listed_ && complete.value == 0;
    if (resumeLost_ || nothingKnown) {
        return ListAll{};
    }
    return WatchAfter{complete, options_.wait};
}

StoreAnswer WatchResume::onListing(const StoreListing &listing, Revision complete, TimePoint now)
{
    const auto answer = judged(listing.revision, complete, now);
    if (answer == StoreAnswer::Current) {
        listed_ = true;
        resumeLost_ = false;
    }
    return answer;
}

StoreAnswer WatchResume::onChanges(const StoreChanges &changes, Revision complete, TimePoint now)
{
    if (changes.tooOld) {
        resumeLost_ = true;
        return StoreAnswer::TooOld;
    }
    return judged(changes.revision, complete, now);
}

void WatchResume::onFailure(TimePoint now)
{
    pausedUntil_ = now + backoff_.next(random_);
}

StoreAnswer WatchResume::judged(Revision revision, Revision complete, TimePoint now)
{
    if (revision < complete) {
        onFailure(now);
        return StoreAnswer::Stale;
    }
    backoff_.reset();
    return StoreAnswer::Current;
}

} // namespace cardamomstep
