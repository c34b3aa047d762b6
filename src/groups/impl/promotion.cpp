// Collects the adoptions of one promotion attempt and chooses its candidate.
#include "groups/impl/promotion.h"

#include "groups/member.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cardamomstep {

Promotion::Promotion(PromotionPlan plan, std::size_t memberCount)
    : plan_(std::move(plan))
    , majority_(majorityOf(memberCount))
{
}

const PromotionPlan &Promotion::plan() const noexcept
{
    return plan_;
}

const Term &Promotion::term() const noexcept
{
    return plan_.term;
}

void Promotion::onAdopted(const MemberReport &report)
{
    const bool excluded = plan_.excludeAvoided && report.member == plan_.avoid;
    if (report.adopted != plan_.term || excluded || adoptedBy(report.member)) {
        return;
    }
    adopted_.push_back(report);
}

bool Promotion::adoptedBy(const MemberName &member) const noexcept
{
    return std::any_of(adopted_.begin(), adopted_.end(), [&](const MemberReport &report) { return report.member == member; });
}

void Promotion::choose(bool complete)
{
    if (!candidate_.empty() || !complete || adopted_.size() < majority_) {
        return;
    }
    const auto worse = [this](const MemberReport &left, const MemberReport &right) {
        return better(right, left);
    };
    candidate_ = std::max_element(adopted_.begin(), adopted_.end(), worse)->member;
}

const MemberName &Promotion::candidate() const noexcept
{
    return candidate_;
}

// The greatest log position always takes precedence: only that log is certain to hold every acknowledged entry.
bool Promotion::better(const MemberReport &left, const MemberReport &right) const noexcept
{
    const auto rankingOf = [this](const MemberReport &report) {
        return std::make_tuple(report.log, report.member == plan_.prefer, report.member != plan_.avoid, !report.leaving);
    };
    return rankingOf(left) > rankingOf(right);
}

} // namespace cardamomstep
