// Acquisition, renewal and loss of the fleet's lease.
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
    const auto end = now + report.remaining;
    report_ = report;
    // A report of the same renewal that arrives later, through other proxies, must not extend the lease by its transfer time.
    reportedEnd_ = same ? std::min<TimePoint>(reportedEnd_, end) : end;
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
    const bool reportIsNewest = report_.fencingToken != 0 && (!state_ || report_.fencingToken >= state_->fencingToken);
    if (reportIsNewest) {
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
    // A stored lease that names this instance belongs to an earlier process of it, which has ended.
    const bool own = state_ && state_->holder == self_;
    const bool free = !state_ || state_->holder.empty();
    // Few proxies read renewals from the store; the others learn of them by reports.
    const bool reportedValid = state_ && report_.fencingToken >= state_->fencingToken && now < reportedEnd_ + limits_.clockMargin;
    const bool unrenewed = state_ && !reportedValid && now - unchangedSince_ >= limits_.duration + contentionDelay_;
    const bool same = state_ && state_->fencingToken == report_.fencingToken && state_->renewals == report_.renewals;
    const bool expired = unrenewed || (same && now >= reportedEnd_ + limits_.clockMargin + contentionDelay_);
    const bool relinquished = state_ && state_->fencingToken == relinquishedToken_ && now - relinquishedAt_ >= contentionDelay_;
    if (!own && !(free && now - unchangedSince_ >= contentionDelay_) && !expired && !relinquished) {
        return std::nullopt;
    }
    writePending_ = true;
    return LeaseWrite{state_ ? state_->revision : Revision{}, 0, ++renewals_};
}

void FleetLease::written(Revision revision, TimePoint writeStartedAt, TimePoint now)
{
    writePending_ = false;
    if (!held_) {
        held_ = true;
        acquiredAt_ = now;
        fencingToken_ = revision.value;
    }
    renewedAt_ = writeStartedAt;
    validUntil_ = writeStartedAt + limits_.duration - limits_.clockMargin;
    state_ = LeaseState{self_, fencingToken_, renewals_, revision};
    unchangedSince_ = now;
}

std::uint64_t FleetLease::relinquish(TimePoint now)
{
    held_ = false;
    validUntil_ = now;
    // The store still names this instance; this process must not treat that as the lease of an earlier process.
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
