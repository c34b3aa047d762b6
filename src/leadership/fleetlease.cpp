// Taking, renewing and losing the lease.
#include "leadership/fleetlease.h"

#include <algorithm>

namespace cardamomstep::leadership {

void FleetLease::onStoredLease(const std::optional<LeaseState> &state, TimePoint now)
{
    conflicted_ = false;
    const bool older = state && state_ && state->revision < state_->revision;
    if (older) {
        return;
    }
    const bool changed = !stateRead_ || state != state_;
    stateRead_ = true;
    if (!changed) {
        return;
    }
    state_ = state;
    unchangedSince_ = now;
    contentionDelay_ =
        Milliseconds{static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(limits_.maxContentionDelay.count()) + 1))};
    const bool mine = state && state->holder == self_ && state->fencingToken == fencingToken_;
    if (held_ && !mine) {
        held_ = false;
    }
    if (!state || state->holder != self_) {
        resigned_ = leaving_;
    }
}

void FleetLease::onLeaseReport(const LeaseReport &report, TimePoint now)
{
    const bool older =
        report.fencingToken < report_.fencingToken || (report.fencingToken == report_.fencingToken && report.renewals < report_.renewals);
    if (report.fencingToken == 0 || older) {
        return;
    }
    const bool same = report.fencingToken == report_.fencingToken && report.renewals == report_.renewals;
    const auto ends = now + report.remaining;
    report_ = report;
    // The same word passed around must not last longer for the time that it was on its way.
    reportedEnd_ = same ? std::min<TimePoint>(reportedEnd_, ends) : ends;
}

LeaseReport FleetLease::report(TimePoint now) const
{
    if (holds(now)) {
        return {self_, fencingToken_, renewals_, wholeMilliseconds(validUntil_ + limits_.clockMargin - now)};
    }
    auto report = report_;
    report.remaining = wholeMilliseconds(reportedEnd_ - now);
    return report;
}

InstanceName FleetLease::holder() const
{
    const bool byWord = report_.fencingToken != 0 && (!state_ || report_.fencingToken >= state_->fencingToken);
    if (byWord) {
        return report_.holder;
    }
    return state_ ? state_->holder : InstanceName{};
}

std::optional<LeaseWrite> FleetLease::next(TimePoint now)
{
    if (needsRead() || writePending_ || resigned_ || now < nextAttemptAt_) {
        return std::nullopt;
    }
    if (held_) {
        if (now - renewedAt_ < limits_.renewalInterval) {
            return std::nullopt;
        }
        writePending_ = true;
        return LeaseWrite{state_->revision, fencingToken_, ++renewals_};
    }
    // A lease in this process' own name belongs to an earlier process of this instance, which is gone.
    const bool own = state_ && state_->holder == self_;
    const bool free = !state_ || state_->holder.empty();
    // Few proxies see renewals in the store; the others hear of them.
    const bool promised = state_ && report_.fencingToken >= state_->fencingToken && now < reportedEnd_ + limits_.clockMargin;
    const bool silent = state_ && !promised && now - unchangedSince_ >= limits_.duration + contentionDelay_;
    const bool same = state_ && state_->fencingToken == report_.fencingToken && state_->renewals == report_.renewals;
    const bool expired = silent || (same && now >= reportedEnd_ + limits_.clockMargin + contentionDelay_);
    const bool givenUp = state_ && state_->fencingToken == relinquishedToken_ && now - relinquishedAt_ >= contentionDelay_;
    if (!own && !(free && now - unchangedSince_ >= contentionDelay_) && !expired && !givenUp) {
        return std::nullopt;
    }
    writePending_ = true;
    return LeaseWrite{state_ ? state_->revision : Revision{}, 0, ++renewals_};
}

void FleetLease::written(Revision revision, TimePoint begun, TimePoint now)
{
    writePending_ = false;
    if (!held_) {
        held_ = true;
        acquiredAt_ = now;
        fencingToken_ = revision.value;
    }
    renewedAt_ = begun;
    validUntil_ = begun + limits_.duration - limits_.clockMargin;
    state_ = LeaseState{self_, fencingToken_, renewals_, revision};
    unchangedSince_ = now;
}

std::uint64_t FleetLease::relinquish(TimePoint now)
{
    held_ = false;
    validUntil_ = now;
    // The store still names this process; it must not take that for a lease of an earlier process.
    resigned_ = true;
    return fencingToken_;
}

void FleetLease::onRelinquished(std::uint64_t fencingToken, TimePoint now)
{
    if (fencingToken != 0 && fencingToken != relinquishedToken_) {
        relinquishedToken_ = fencingToken;
        relinquishedAt_ = now;
    }
}

void FleetLease::writeFailed(bool conflict, TimePoint now)
{
    writePending_ = false;
    nextAttemptAt_ = now + limits_.retryDelay;
    conflicted_ = conflict;
}

} // namespace cardamomstep::leadership
