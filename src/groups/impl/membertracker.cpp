// Merging of member reports and the timing of what is asked of one member.
#include "groups/impl/membertracker.h"

#include <algorithm>
#include <utility>

namespace cardamomstep {

namespace {

constexpr unsigned refusalsOfGoneProcess = 2;

} // namespace

MemberWatch::MemberWatch(MemberName name, TimePoint now)
    : followAt(now)
    , name_(std::move(name))
    , stateAt_(now)
    , heardAt_(now)
    , movedAt_(now)
    , backSince_(now)
    , refusedAt_(now)
    , reportAllowedAt_(now)
    , orderAllowedAt_(now)
{
}

const MemberName &MemberWatch::name() const noexcept
{
    return name_;
}

const std::optional<MemberReport> &MemberWatch::report() const noexcept
{
    return report_;
}

TimePoint MemberWatch::heardAt() const noexcept
{
    return heardAt_;
}

bool MemberWatch::everHeard() const noexcept
{
    return everHeard_;
}

TimePoint MemberWatch::movedAt() const noexcept
{
    return movedAt_;
}

void MemberWatch::onPrimaryLog(const Mark &primaryLog, TimePoint now) noexcept
{
    if (!report_ || report_->log >= primaryLog) {
        behindSince_.reset();
        return;
    }
    if (!behindSince_) {
        behindSince_ = now;
    }
}

std::optional<TimePoint> MemberWatch::stuckSince() const noexcept
{
    if (!behindSince_) {
        return std::nullopt;
    }
    return std::max({*behindSince_, movedAt_, backSince_});
}

void MemberWatch::onState(const MemberReport &report, TimePoint sentAt, TimePoint now)
{
    onAlive(now);
    if (!isNews(report, sentAt)) {
        return;
    }
    if (!report_ || report_->log != report.log) {
        movedAt_ = now;
    }
    report_ = report;
    stateAt_ = now;
}

// Replies to a report and to an order may overlap in time and arrive in either order: then the state that a member
// reaches later wins, and a reply asked for after the last one arrived settles the rest.
bool MemberWatch::isNews(const MemberReport &report, TimePoint sentAt) const noexcept
{
    if (!report_ || sentAt >= stateAt_) {
        return true;
    }
    if (report.adopted != report_->adopted) {
        return report.adopted > report_->adopted;
    }
    const bool stepsBack = report_->role == MemberRole::Primary && report.role == MemberRole::Replica;
    return !stepsBack && report.log >= report_->log;
}

void MemberWatch::told(const Term &term) noexcept
{
    toldTerm_ = term;
}

bool MemberWatch::follows(const Term &term) const noexcept
{
    return toldTerm_ == term;
}

void MemberWatch::onAlive(TimePoint now) noexcept
{
    if (failedSinceHeard_) {
        backSince_ = now;
    }
    heardAt_ = now;
    everHeard_ = true;
    refusals_ = 0;
    failedSinceHeard_ = false;
}

TimePoint MemberWatch::onFailure(const LinkFailure &failure, const GroupPolicy &policy, TimePoint now) noexcept
{
    failedSinceHeard_ = true;
    // The process may have ended; a new one follows nobody.
    toldTerm_.reset();
    if (failure.fault == LinkFault::TimedOut) {
        return now;
    }
    if (failure.fault != LinkFault::Refused) {
        return now + policy.refusalRetry;
    }
    if (gone()) {
        return now + policy.heartbeatInterval;
    }
    if (refusals_ == 0 || now - refusedAt_ > policy.refusalWindow) {
        refusals_ = 0;
        refusedAt_ = now;
    }
    ++refusals_;
    return now + policy.refusalRetry;
}

void MemberWatch::forgive(Microseconds span, TimePoint now) noexcept
{
    heardAt_ = std::min(now, heardAt_ + span);
}

bool MemberWatch::gone() const noexcept
{
    return refusals_ >= refusalsOfGoneProcess;
}

TimePoint MemberWatch::refusedAt() const noexcept
{
    return refusedAt_;
}

bool MemberWatch::silent(const GroupPolicy &policy, bool primary, TimePoint now) const noexcept
{
    return now - heardAt_ >= policy.suspectAfter(primary);
}

bool MemberWatch::reportDue(TimePoint now) const noexcept
{
    return !reportOutstanding_ && now >= reportAllowedAt_;
}

std::optional<TimePoint> MemberWatch::nextReportAt() const noexcept
{
    if (reportOutstanding_) {
        return std::nullopt;
    }
    return reportAllowedAt_;
}

bool MemberWatch::reportAtOnce() const noexcept
{
    return failedSinceHeard_ || !report_;
}

void MemberWatch::reportSent() noexcept
{
    reportOutstanding_ = true;
}

void MemberWatch::reportEnded(TimePoint nextAt) noexcept
{
    reportOutstanding_ = false;
    reportAllowedAt_ = nextAt;
}

const std::optional<OutstandingOrder> &MemberWatch::order() const noexcept
{
    return order_;
}

bool MemberWatch::orderAllowed(TimePoint now) const noexcept
{
    return !order_ && now >= orderAllowedAt_;
}

TimePoint MemberWatch::nextOrderAt() const noexcept
{
    return orderAllowedAt_;
}

void MemberWatch::orderSent(OutstandingOrder order) noexcept
{
    order_ = order;
}

void MemberWatch::orderEnded(TimePoint nextAt) noexcept
{
    order_.reset();
    orderAllowedAt_ = nextAt;
}

} // namespace cardamomstep
