// Whether a log entry is held by a majority of a group's members, and so outlives any promotion.
#pragma once

#include "base/logposition.h"
#include "groups/member.h"
#include "members/member.h"

#include <array>
#include <cstdint>
#include <vector>

namespace cardamomstep {

/// What is known about an entry.
enum class Coverage : std::uint8_t {
    Pending, ///< Not yet reported by a majority.
    Covered, ///< Reported by a majority at its own term: it is never lost.
    Superseded, ///< A majority has gone to a higher term; only an outcome question tells whether the entry is kept.
};

/// Collects members' reports and tells which entries are covered.
///
/// An entry of term T at position p is covered once a majority has reported a log whose last entry is of term T at
/// p or later while T was their adopted term. Reports at a higher log term do not count for it: their logs may have left
/// it out. Nor do reports of a log that still ends at T under a higher adopted term: a member that catches up with
/// a later primary passes through such a state, and its copy came too late to bind the promotions between. Every member
/// counts once, with the most it ever reported at that term, because it takes no entry of T after adopting a higher one.
class AckTracker
{
public:
    explicit AckTracker(std::vector<MemberName> members);

    /// Sets the configured members; reports of members that stay are kept, covered entries stay covered.
    void setMembers(std::vector<MemberName> members);

    /// Takes in a report or the state in any reply of \a member; unknown members are left out.
    ///
    /// Returns true when a further entry became covered or a term was superseded, so that waiting writes need a look.
    bool onState(const MemberName &member, const Mark &log, const Term &adopted);

    /// What is known about the entry at \a mark.
    [[nodiscard]] Coverage coverage(const Mark &mark) const noexcept;

    /// The last covered entry of the highest term that has one; position 0 when there is none.
    [[nodiscard]] Mark covered() const noexcept;

private:
    /// Terms for which a member's or the group's furthest position is kept.
    static constexpr std::size_t keptTerms = 3;
    /// Highest term first; unused places have position 0.
    using Positions = std::array<Mark, keptTerms>;

    struct State {
        MemberName member;
        Term adopted;
        Positions furthest{};
    };

    static bool advance(Positions &positions, const Mark &mark) noexcept;
    [[nodiscard]] static std::uint64_t positionAt(const Positions &positions, const Term &term) noexcept;
    [[nodiscard]] std::uint64_t majorityPosition(const Term &term) const;
    [[nodiscard]] Term majorityAdopted() const;

    std::vector<State> states_;
    Positions covered_{};
    /// Lowest of the terms that a majority has adopted or passed.
    Term majorityAdopted_;
};

} // namespace cardamomstep
