// Decides the steps of a planned switchover.
#include "groups/switchover.h"

#include <algorithm>

namespace cardamomstep {

void Switchover::start(const MemberName &from, const GroupPolicy &policy, TimePoint now)
{
    step_ = SwitchoverStep::CatchUp;
    from_ = from;
    target_ = MemberName{};
    deadline_ = now + policy.holdLimit;
    stableEnd_ = LogPosition{};
    stableSince_ = now;
}

SwitchoverStep Switchover::advance(const std::vector<MemberReport> &reports, const Term &term, const GroupPolicy &policy, TimePoint now)
{
    if (step_ != SwitchoverStep::CatchUp) {
        return step_;
    }
    if (now >= deadline_) {
        step_ = SwitchoverStep::Abandon;
        return step_;
    }
    const auto leader = std::find_if(reports.begin(), reports.end(), [&](const MemberReport &report) { return report.member == from_; });
    if (leader == reports.end()) {
        return step_;
    }
    if (leader->log != stableEnd_) {
        stableEnd_ = leader->log;
        stableSince_ = now;
    }
    if (now - stableSince_ < policy.quietTime) {
        return step_;
    }
    const auto isCaughtUp = [&](const MemberReport &report) {
        return report.member != from_ && !report.leaving && report.adopted == term && report.log >= stableEnd_;
    };
    const auto target = std::find_if(reports.begin(), reports.end(), isCaughtUp);
    if (target != reports.end()) {
        target_ = target->member;
        step_ = SwitchoverStep::HandOver;
    }
    return step_;
}

void Switchover::onPromotionStarted() noexcept
{
    step_ = SwitchoverStep::Promote;
}

void Switchover::finish() noexcept
{
    step_ = SwitchoverStep::Idle;
}

bool Switchover::active() const noexcept
{
    return step_ != SwitchoverStep::Idle;
}

SwitchoverStep Switchover::step() const noexcept
{
    return step_;
}

const MemberName &Switchover::from() const noexcept
{
    return from_;
}

const MemberName &Switchover::target() const noexcept
{
    return target_;
}

TimePoint Switchover::deadline() const noexcept
{
    return deadline_;
}

} // namespace cardamomstep
