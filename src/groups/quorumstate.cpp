// Counts the members that have an entry.
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

bool AckTracker::onState(const MemberName &member, const LogPosition &log, const Term &adopted)
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
    // Under a higher adopted term, the entries may have come from that term's primary and prove nothing.
    if (log.term == adopted && advance(state->furthest, log)) {
        changed = advance(replicated_, LogPosition{log.term, majorityIndex(log.term)}) || changed;
    }
    return changed;
}

QuorumState AckTracker::quorumState(const LogPosition &entryPosition) const noexcept
{
    // A term without replicated entries has index 0, which must not count as its start entry being replicated.
    if (indexAt(replicated_, entryPosition.term) >= std::max<std::uint64_t>(entryPosition.index, 1)) {
        return QuorumState::Replicated;
    }
    return majorityAdopted_ > entryPosition.term ? QuorumState::Superseded : QuorumState::Pending;
}

LogPosition AckTracker::replicated() const noexcept
{
    return replicated_.front();
}

bool AckTracker::advance(Positions &positions, const LogPosition &entryPosition) noexcept
{
    if (entryPosition.index == 0) {
        return false;
    }
    const auto sameTerm =
        std::find_if(positions.begin(), positions.end(), [&](const LogPosition &tracked) { return tracked.term == entryPosition.term; });
    const auto slot = sameTerm == positions.end() ? std::prev(positions.end()) : sameTerm;
    if (*slot >= entryPosition) {
        return false;
    }
    *slot = entryPosition;
    std::sort(positions.begin(), positions.end(), std::greater<>());
    return true;
}

std::uint64_t AckTracker::indexAt(const Positions &positions, const Term &term) noexcept
{
    const auto found = std::find_if(positions.begin(), positions.end(), [&](const LogPosition &tracked) { return tracked.term == term; });
    return found == positions.end() ? 0 : found->index;
}

std::uint64_t AckTracker::majorityIndex(const Term &term) const
{
    std::vector<std::uint64_t> positions;
    positions.reserve(states_.size());
    for (const auto &state : states_) {
        positions.push_back(indexAt(state.furthest, term));
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
