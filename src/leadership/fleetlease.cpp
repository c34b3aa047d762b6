// Acquisition, renewal and loss of the fleet's lease.
#include "leadership/fleetlease.h"

#include <algorithm>
#include <utility>

namespace cardamomstep::leadership {

namespace {

/// Bits of a fencing token for the number and the epoch of a revision, 53 together: every JSON reader represents such integers exactly.
constexpr unsigned tokenNumberBits = 33;
constexpr unsigned tokenEpochBits = 20;

} // namespace

const InstanceName &unknownHolder()
{
    static const InstanceName name{"?"};
    return name;
}

std::uint64_t fencingTokenOf(Revision revision) noexcept
{
    const bool representable = (revision.value >> tokenNumberBits) == 0 && (revision.epoch.value >> tokenEpochBits) == 0;
    return representable ? (revision.epoch.value << tokenNumberBits) | revision.value : 0;
}

void FleetLease::onStoreEpoch(const StoreEpochChange &change, TimePoint now)
{
    if (!change.first && change.epoch <= epoch_) {
        return;
    }
    newFleet_ = newFleet_ && change.first;
    epoch_ = change.epoch;
    epochSince_ = now;
    state_.reset();
    stateRead_ = false;
    if (!holds(now)) {
        // Another proxy may have taken the lease by a write that the store lost.
        held_ = false;
    }
}

void FleetLease::onStoredLease(const std::optional<LeaseState> &state, StoreEpoch epoch, TimePoint now)
{
    if (epoch != epoch_) {
        return;
    }
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
    // Nobody takes a lease with an unknown holder before this process's own has ended, and this process writes it again.
    const bool overwritten = state && state->holder == unknownHolder();
    if (held_ && !mine && !overwritten && storedLeaseConfirmed()) {
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

/// True when the stored lease, or its absence, is certainly the newest: the store cannot have lost a newer version.
bool FleetLease::storedLeaseConfirmed() const noexcept
{
    return state_ ? state_->confirmed() : epoch_ == StoreEpoch{} || newFleet_;
}

std::optional<LeaseWrite> FleetLease::next(TimePoint now)
{
    if (needsRead() || pendingWrite_ || resigned_ || now < nextAttemptAt_) {
        return std::nullopt;
    }
    if (held_ && !storedLeaseConfirmed() && !holds(now)) {
        held_ = false;
    }
    if (held_) {
        const bool due = now - renewedAt_ >= limits_.renewalInterval || !storedLeaseConfirmed();
        return due ? std::optional(startWrite(fencingToken_)) : std::nullopt;
    }
    return mayTake(now) ? std::optional(startWrite(0)) : std::nullopt;
}

bool FleetLease::mayTake(TimePoint now) const
{
    if (!storedLeaseConfirmed()) {
        // If the store lost a newer lease, that was last renewed before the epoch began, and has ended after a whole duration.
        return now - epochSince_ >= limits_.duration + contentionDelay_ && now >= reportedEnd_ + limits_.clockMargin;
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
    return own || (free && now - unchangedSince_ >= contentionDelay_) || expired || relinquished;
}

LeaseWrite FleetLease::startWrite(std::uint64_t fencingToken)
{
    ++lastWriteId_.value;
    pendingWrite_ = LeaseWrite{lastWriteId_, state_ ? state_->revision : Revision{}, epoch_, fencingToken, ++renewals_};
    return *pendingWrite_;
}

LeaseWriteResult FleetLease::written(LeaseWriteId id, Revision revision, TimePoint writeStartedAt, TimePoint now)
{
    if (!pendingWrite_ || pendingWrite_->id != id) {
        return LeaseWriteResult::Superseded;
    }
    const auto write = *std::exchange(pendingWrite_, std::nullopt);
    const bool acquisition = write.fencingToken == 0;
    const auto token = acquisition ? fencingTokenOf(revision) : write.fencingToken;
    const bool sameEpoch = write.epoch == epoch_ && revision.epoch == epoch_;
    const bool newestRead = !state_ || state_->revision <= revision;
    const bool wanted = acquisition ? !resigned_ && token != 0 : held_;
    if (!sameEpoch || !newestRead || !wanted) {
        conflicted_ = true;
        return LeaseWriteResult::Superseded;
    }
    const bool heldBefore = !acquisition && holds(now);
    if (!heldBefore) {
        acquiredAt_ = now;
    }
    held_ = true;
    fencingToken_ = token;
    renewedAt_ = writeStartedAt;
    validUntil_ = writeStartedAt + limits_.duration - limits_.clockMargin;
    state_ = LeaseState{self_, fencingToken_, write.renewals, revision, write.epoch};
    unchangedSince_ = now;
    return heldBefore ? LeaseWriteResult::Renewed : LeaseWriteResult::Acquired;
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

void FleetLease::writeFailed(LeaseWriteId id, bool conflict, TimePoint now)
{
    if (!pendingWrite_ || pendingWrite_->id != id) {
        return;
    }
    pendingWrite_.reset();
    nextAttemptAt_ = now + limits_.retryDelay;
    conflicted_ = conflict;
}

} // namespace cardamomstep::leadership
