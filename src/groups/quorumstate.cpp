// Counting of members that hold an entry.
#include "groups/quorumstate.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace cardamomstep {

AckTracker::AckTracker(std::vector<MemberName> members)
{
    setMembers(std::move(members));
}

void AckTracker::setMembers(std::vector<MemberName> members)
{
    std::vector<State> states;
    states.reserve(members.size());
    for (auto &member : members) {
        const auto known = std::find_if(states_.begin(), states_.end(), [&](const State &state) { return state.member == member; });
        states.push_back(known == states_.end() ? State{std::move(member), {}, {}} : *known);
    }
    states_ = std::move(states);
}

bool AckTracker::onState(const MemberName &member, const Mark &log, const Term &adopted)
{
    const auto state = std::find_if(states_.begin(), states_.end(), [&](const State &known) { return known.member == member; });
    if (state == states_.end()) {
        return false;
    }
    bool changed = false;
    if (adopted > state->adopted) {
        state->adopted = adopted;
        const auto superseding = majorityAdopted();
        changed = superseding > majorityAdopted_;
        majorityAdopted_ = std::max(majorityAdopted_, superseding);
    }
    // Under a higher adopted term the entries may have come from that term's primary, and then prove nothing.
    if (log.term == adopted && advance(state->furthest, log)) {
        changed = advance(covered_, Mark{log.term, majorityPosition(log.term)}) || changed;
    }
    return changed;
}

Coverage AckTracker::coverage(const Mark &mark) const noexcept
{
    // A term without covered entries has position 0, which says nothing about its start entry.
    if (positionAt(covered_, mark.term) >= std::max<std::uint64_t>(mark.position, 1)) {
        return Coverage::Covered;
    }
    return majorityAdopted_ > mark.term ? Coverage::Superseded : Coverage::Pending;
}

Mark AckTracker::covered() const noexcept
{
    return covered_.front();
}

bool AckTracker::advance(Positions &positions, const Mark &mark) noexcept
{
    if (mark.position == 0) {
        return false;
    }
    const auto same = std::find_if(positions.begin(), positions.end(), [&](const Mark &kept) { return kept.term == mark.term; });
    const auto place = same == positions.end() ? std::prev(positions.end()) : same;
    if (*place >= mark) {
        return false;
    }
    *place = mark;
    std::sort(positions.begin(), positions.end(), std::greater<>());
    return true;
}

std::uint64_t AckTracker::positionAt(const Positions &positions, const Term &term) noexcept
{
    const auto found = std::find_if(positions.begin(), positions.end(), [&](const Mark &kept) { return kept.term == term; });
    return found == positions.end() ? 0 : found->position;
}

std::uint64_t AckTracker::majorityPosition(const Term &term) const
{
    std::vector<std::uint64_t> positions;
    positions.reserve(states_.size());
    for (const auto &state : states_) {
        positions.push_back(positionAt(state.furthest, term));
    }
    std::sort(positions.begin(), positions.end(), std::greater<>());
    return positions[majorityOf(positions.size()) - 1];
}

Term AckTracker::majorityAdopted() const
{
    std::vector<Term> adopted;
    adopted.reserve(states_.size());
    for (const auto &state : states_) {
        adopted.push_back(state.adopted);
    }
    std::sort(adopted.begin(), adopted.end(), std::greater<>());
    return adopted[majorityOf(adopted.size()) - 1];
}

} // namespace cardamomstep
