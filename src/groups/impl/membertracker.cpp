// Merges the reports of one member and times the requests to it.
#include "groups/impl/membertracker.h"

#include <algorithm>
#include <utility>

namespace cardamomstep {

namespace {

constexpr unsigned refusalsUntilDown = 2;

} // namespace

MemberTracker::MemberTracker(MemberName name, TimePoint now)
    : followAllowedAt(now)
    , name_(std::move(name))
    , reportReceivedAt_(now)
    , lastContactAt_(now)
    , logAdvancedAt_(now)
    , recoveredAt_(now)
    , refusedAt_(now)
    , reportAllowedAt_(now)
    , orderAllowedAt_(now)
{
}

const MemberName &MemberTracker::name() const noexcept
{
    return name_;
}

const std::optional<MemberReport> &MemberTracker::report() const noexcept
{
    return report_;
}

TimePoint MemberTracker::lastContactAt() const noexcept
{
    return lastContactAt_;
}

bool MemberTracker::everContacted() const noexcept
{
    return everContacted_;
}

TimePoint MemberTracker::logAdvancedAt() const noexcept
{
    return logAdvancedAt_;
}

void MemberTracker::onPrimaryLog(const LogPosition &primaryLog, TimePoint now) noexcept
{
    if (!report_ || report_->log >= primaryLog) {
        behindSince_.reset();
        return;
    }
    if (!behindSince_) {
        behindSince_ = now;
    }
}

std::optional<TimePoint> MemberTracker::stalledSince() const noexcept
{
    if (!behindSince_) {
        return std::nullopt;
    }
    return std::max({*behindSince_, logAdvancedAt_, recoveredAt_});
}

void MemberTracker::onState(const MemberReport &report, TimePoint sentAt, TimePoint now)
{
    onContact(now);
    if (!isNewer(report, sentAt)) {
        return;
    }
    if (!report_ || report_->log != report.log) {
        logAdvancedAt_ = now;
    }
    report_ = report;
    reportReceivedAt_ = now;
}

// Replies to a report request and to an order may overlap, so the older one may arrive last. Of two such states the newer one is the
// one that the member can only reach after the other. A reply to a request sent after the last state arrived is always newer.
bool MemberTracker::isNewer(const MemberReport &report, TimePoint sentAt) const noexcept
{
    if (!report_ || sentAt >= reportReceivedAt_) {
        return true;
    }
    if (report.adopted != report_->adopted) {
        return report.adopted > report_->adopted;
    }
    const bool losesPrimaryRole = report_->role == MemberRole::Primary && report.role == MemberRole::Replica;
    return !losesPrimaryRole && report.log >= report_->log;
}

void MemberTracker::followAccepted(const Term &term) noexcept
{
    followedTerm_ = term;
}

bool MemberTracker::follows(const Term &term) const noexcept
{
    return followedTerm_ == term;
}

void MemberTracker::onContact(TimePoint now) noexcept
{
    if (failedSinceContact_) {
        recoveredAt_ = now;
    }
    lastContactAt_ = now;
    everContacted_ = true;
    refusals_ = 0;
    failedSinceContact_ = false;
}

TimePoint MemberTracker::onFailure(const ConnectionFailure &failure, const GroupPolicy &policy, TimePoint now) noexcept
{
    failedSinceContact_ = true;
    // The process may have ended, and a new one does not follow a primary.
    followedTerm_.reset();
    if (failure.fault == ConnectionFault::TimedOut) {
        return now;
    }
    if (failure.fault != ConnectionFault::Refused) {
        return now + policy.refusalRetry;
    }
    if (isDown()) {
        return now + policy.heartbeatInterval;
    }
    if (refusals_ == 0 || now - refusedAt_ > policy.refusalWindow) {
        refusals_ = 0;
        refusedAt_ = now;
    }
    ++refusals_;
    return now + policy.refusalRetry;
}

void MemberTracker::discountPause(Microseconds span, TimePoint now) noexcept
{
    lastContactAt_ = std::min(now, lastContactAt_ + span);
}

bool MemberTracker::isDown() const noexcept
{
    return refusals_ >= refusalsUntilDown;
}

TimePoint MemberTracker::refusedAt() const noexcept
{
    return refusedAt_;
}

bool MemberTracker::silent(const GroupPolicy &policy, bool primary, TimePoint now) const noexcept
{
    return now - lastContactAt_ >= policy.suspectAfter(primary);
}

bool MemberTracker::reportDue(TimePoint now) const noexcept
{
    return !reportOutstanding_ && now >= reportAllowedAt_;
}

std::optional<TimePoint> MemberTracker::nextReportAt() const noexcept
{
    if (reportOutstanding_) {
        return std::nullopt;
    }
    return reportAllowedAt_;
}

bool MemberTracker::reportAtOnce() const noexcept
{
    return failedSinceContact_ || !report_;
}

void MemberTracker::reportSent() noexcept
{
    reportOutstanding_ = true;
}

void MemberTracker::reportEnded(TimePoint nextAt) noexcept
{
    reportOutstanding_ = false;
    reportAllowedAt_ = nextAt;
}

const std::optional<OutstandingOrder> &MemberTracker::order() const noexcept
{
    return order_;
}

bool MemberTracker::orderAllowed(TimePoint now) const noexcept
{
    return !order_ && now >= orderAllowedAt_;
}

TimePoint MemberTracker::nextOrderAt() const noexcept
{
    return orderAllowedAt_;
}

void MemberTracker::orderSent(OutstandingOrder order) noexcept
{
    order_ = order;
}

void MemberTracker::orderEnded(TimePoint nextAt) noexcept
{
    order_.reset();
    orderAllowedAt_ = nextAt;
}

} // namespace cardamomstep
