// One attempt to give a group a new primary: adoption by a majority, then one member leads.
#pragma once

#include "base/ids.h"
#include "base/logposition.h"
#include "base/time.h"
#include "groups/action.h"
#include "members/member.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace cardamomstep {

/// What an attempt is about.
struct PromotionPlan {
    Term term;
    PromotionReason reason = PromotionReason::NoPrimary;
    /// A member that leads only when its log is the longest; may be empty.
    MemberName avoid;
    /// True when `avoid` is left out of the attempt altogether.
    bool skipAvoided = false;
    /// A member to be chosen among equals; may be empty.
    MemberName prefer;
    TimePoint detectedAt;
    TimePoint startedAt;
    /// Until when replies of further members are waited for although a majority has adopted.
    TimePoint patientUntil;
    /// When the attempt is given up.
    TimePoint deadline;
};

/// An attempt at one term.
///
/// Invariant: candidate() is set at most once and only after a majority has adopted exactly this term; so no two
/// members are ever told to lead at one term.
class Promotion
{
public:
    Promotion(PromotionPlan plan, std::size_t memberCount);

    [[nodiscard]] const PromotionPlan &plan() const noexcept;
    [[nodiscard]] const Term &term() const noexcept;

    /// \a report shows that its member adopted the attempt's term, with the log it had after that.
    void onAdopted(const MemberReport &report);
    [[nodiscard]] bool adoptedBy(const MemberName &member) const noexcept;

    /// Chooses the member that is to lead, once that is safe: \a complete when no further adoption is waited for.
    void choose(bool complete);
    /// The member that is to lead; empty during adoption.
    [[nodiscard]] const MemberName &candidate() const noexcept;

private:
    [[nodiscard]] bool better(const MemberReport &left, const MemberReport &right) const noexcept;

    PromotionPlan plan_;
    std::size_t majority_;
    /// One for each member that adopted.
    std::vector<MemberReport> adopted_;
    MemberName candidate_;
};

} // namespace cardamomstep
