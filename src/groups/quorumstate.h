// Whether a log entry is replicated to a majority of a group's members, and so survives any promotion.
#pragma once

#include "base/logposition.h"
#include "groups/member.h"
#include "members/member.h"

#include <array>
#include <cstdint>
#include <vector>

namespace cardamomstep {

/// Replication state of a log entry.
enum class QuorumState : std::uint8_t {
    Pending, ///< Not yet reported by a majority.
    Replicated, ///< Reported by a majority at its own term: it is never lost.
    Superseded, ///< A majority has adopted a higher term; only an outcome query can tell whether the entry is kept.
};

/// Collects members' reports and determines which entries are replicated to a majority.
///
/// An entry of term T at index i is replicated once a majority has reported a log whose last entry is of term T at
/// i or later while T was their adopted term. Reports of a log that ends at a higher term do not count: such a log may lack
/// the entry. Nor do reports of a log that ends at T under a higher adopted term: a member that catches up with
/// a later primary passes through such a state, and it got its copy too late to affect the promotions in between. Every
/// member counts once, with its highest index reported at T, because it accepts no entry of T after adopting a higher term.
class AckTracker
{
public:
    explicit AckTracker(std::vector<MemberName> members);

    /// Sets the configured members. Reports of members in both lists are kept, replicated entries stay replicated.
    void setMembers(std::vector<MemberName> members);

    /// Records the state in a report or any other reply of \a member; unknown members are ignored.
    ///
    /// Returns true when another entry became replicated or a term was superseded, so that waiting writes must be checked.
    bool onState(const MemberName &member, const LogPosition &log, const Term &adopted);

    /// Returns the state of the entry at \a entryPosition.
    [[nodiscard]] QuorumState quorumState(const LogPosition &entryPosition) const noexcept;

    /// The last replicated entry of the highest term that has one; index 0 when there is none.
    [[nodiscard]] LogPosition replicated() const noexcept;

private:
    /// Number of terms for which the furthest position of a member or the group is kept.
    static constexpr std::size_t maxTrackedTerms = 3;
    /// Highest term first; unused elements have index 0.
    using Positions = std::array<LogPosition, maxTrackedTerms>;

    struct State {
        MemberName member;
        Term adopted;
        Positions furthest{};
    };

    /// Raises the position kept for the entry's term and returns true; returns false if it is as high already or the term is too low to
    /// keep.
    static bool advance(Positions &positions, const LogPosition &entryPosition) noexcept;
    [[nodiscard]] static std::uint64_t indexAt(const Positions &positions, const Term &term) noexcept;
    [[nodiscard]] std::uint64_t majorityIndex(const Term &term) const;
    [[nodiscard]] Term majorityAdopted() const;

    std::vector<State> states_;
    Positions replicated_{};
    /// Highest term that a majority has reached: each of its members has adopted this term or a higher one.
    Term majorityAdopted_;
};

} // namespace cardamomstep
