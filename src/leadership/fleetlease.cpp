// Taking, renewing and losing the lease.
#include "leadership/fleetlease.h"

#include <algorithm>

namespace cardamomstep::leadership {

void HolderLease::observe(const std::optional<LeaseState> &state, TimePoint now)
{
    conflicted_ = false;
    const bool older = state && state_ && state->revision < state_->revision;
    if (older) {
        return;
    }
    const bool changed = !observed_ || state != state_;
    observed_ = true;
    if (!changed) {
        return;
    }
    state_ = state;
    seenSince_ = now;
    contention_ = Milliseconds{static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(limits_.contention.count()) + 1))};
    const bool mine = state && state->holder == self_ && state->fence == fence_;
    if (held_ && !mine) {
        held_ = false;
    }
    if (!state || state->holder != self_) {
        resigned_ = leaving_;
    }
}

void HolderLease::heard(const LeaseWord &word, TimePoint now)
{
    const bool older = word.fence < word_.fence || (word.fence == word_.fence && word.renewals < word_.renewals);
    if (word.fence == 0 || older) {
        return;
    }
    const bool same = word.fence == word_.fence && word.renewals == word_.renewals;
    const auto ends = now + word.left;
    word_ = word;
    // The same word passed around must not last longer for the time that it was on its way.
    wordEnds_ = same ? std::min<TimePoint>(wordEnds_, ends) : ends;
}

LeaseWord HolderLease::word(TimePoint now) const
{
    if (holds(now)) {
        return {self_, fence_, renewals_, wholeMilliseconds(validUntil_ + limits_.margin - now)};
    }
    auto word = word_;
    word.left = wholeMilliseconds(wordEnds_ - now);
    return word;
}

InstanceName HolderLease::holder() const
{
    const bool byWord = word_.fence != 0 && (!state_ || word_.fence >= state_->fence);
    if (byWord) {
        return word_.holder;
    }
    return state_ ? state_->holder : InstanceName{};
}

std::optional<LeaseWrite> HolderLease::next(TimePoint now)
{
    if (needsObservation() || writing_ || resigned_ || now < pausedUntil_) {
        return std::nullopt;
    }
    if (held_) {
        if (now - renewedAt_ < limits_.renewal) {
            return std::nullopt;
        }
        writing_ = true;
        return LeaseWrite{state_->revision, fence_, ++renewals_};
    }
    // A lease in this process' own name belongs to an earlier process of this instance, which is gone.
    const bool own = state_ && state_->holder == self_;
    const bool free = !state_ || state_->holder.empty();
    // Few proxies see renewals in the store; the others hear of them.
    const bool promised = state_ && word_.fence >= state_->fence && now < wordEnds_ + limits_.margin;
    const bool silent = state_ && !promised && now - seenSince_ >= limits_.duration + contention_;
    const bool same = state_ && state_->fence == word_.fence && state_->renewals == word_.renewals;
    const bool expired = silent || (same && now >= wordEnds_ + limits_.margin + contention_);
    const bool givenUp = state_ && state_->fence == yieldedFence_ && now - yieldedAt_ >= contention_;
    if (!own && !(free && now - seenSince_ >= contention_) && !expired && !givenUp) {
        return std::nullopt;
    }
    writing_ = true;
    return LeaseWrite{state_ ? state_->revision : Revision{}, 0, ++renewals_};
}

void HolderLease::written(Revision revision, TimePoint begun, TimePoint now)
{
    writing_ = false;
    if (!held_) {
        held_ = true;
        takenAt_ = now;
        fence_ = revision.value;
    }
    renewedAt_ = begun;
    validUntil_ = begun + limits_.duration - limits_.margin;
    state_ = LeaseState{self_, fence_, renewals_, revision};
    seenSince_ = now;
}

std::uint64_t HolderLease::yield(TimePoint now)
{
    held_ = false;
    validUntil_ = now;
    // The store still names this process; it must not take that for a lease of an earlier process.
    resigned_ = true;
    return fence_;
}

void HolderLease::yielded(std::uint64_t fence, TimePoint now)
{
    if (fence != 0 && fence != yieldedFence_) {
        yieldedFence_ = fence;
        yieldedAt_ = now;
    }
}

void HolderLease::writeFailed(bool conflict, TimePoint now)
{
    writing_ = false;
    pausedUntil_ = now + limits_.retryPause;
    conflicted_ = conflict;
}

} // namespace cardamomstep::leadership
