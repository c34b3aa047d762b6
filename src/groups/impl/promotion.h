// One attempt to give a group a new primary: a majority adopts a term, then one member leads at it.
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

/// Parameters of an attempt.
struct PromotionPlan {
    Term term;
    PromotionReason reason = PromotionReason::NoPrimary;
    /// A member to choose only when its log is ahead of all others; may be empty.
    MemberName avoid;
    /// True when `avoid` is excluded from the attempt.
    bool excludeAvoided = false;
    /// A member to choose among those with the furthest log; may be empty.
    MemberName prefer;
    TimePoint detectedAt;
    TimePoint startedAt;
    /// Until when to wait for adoptions by further members although a majority has adopted.
    TimePoint adoptionsUntil;
    /// When the attempt is abandoned.
    TimePoint deadline;
};

/// An attempt at one term.
///
/// Invariant: candidate() is set at most once and only after a majority has adopted exactly this term, so no two
/// members are ever ordered to lead at one term.
class Promotion
{
public:
    Promotion(PromotionPlan plan, std::size_t memberCount);

    [[nodiscard]] const PromotionPlan &plan() const noexcept;
    [[nodiscard]] const Term &term() const noexcept;

    /// Records the adoption and the log of \a report if its adopted term is the attempt's; other reports are ignored.
    void onAdopted(const MemberReport &report);
    [[nodiscard]] bool adoptedBy(const MemberName &member) const noexcept;

    /// Chooses the candidate if a majority has adopted the term and no further adoption is awaited (\a complete).
    void choose(bool complete);
    /// The member to lead at the term; empty until it is chosen.
    [[nodiscard]] const MemberName &candidate() const noexcept;

private:
    [[nodiscard]] bool better(const MemberReport &left, const MemberReport &right) const noexcept;

    PromotionPlan plan_;
    std::size_t majority_;
    /// The first report of each member that adopted the term.
    std::vector<MemberReport> adopted_;
    MemberName candidate_;
};

} // namespace cardamomstep
