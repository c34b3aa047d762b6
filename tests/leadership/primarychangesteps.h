// Builds the members, statuses and steps that tests of a primary change pass in.
#pragma once

#include "leadership/primarychange.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

namespace cardamomstep::leadership {

inline TimePoint at(std::int64_t milliseconds)
{
    return TimePoint{Milliseconds{1'000'000 + milliseconds}};
}

inline relay::MemberEntry member(const std::string &name, bool draining = false)
{
    relay::MemberEntry entry;
    entry.name = MemberName{name};
    entry.draining = draining;
    return entry;
}

inline MemberStatus status(const std::string &name, std::uint64_t number, bool primary = false, std::uint64_t term = 1)
{
    return {MemberName{name}, {primary, term, LogPosition{Term{term, 0}, number}}};
}

template<typename Action>
std::vector<Action> actionsOf(const PrimaryChangeActions &actions)
{
    std::vector<Action> found;
    for (const auto &action : actions) {
        if (const auto *one = std::get_if<Action>(&action)) {
            found.push_back(*one);
        }
    }
    return found;
}

/// A primary change of group "g" away from "p", recorded at 4 ms.
inline PrimaryChange startChange(PrimaryChangeReason reason, const std::vector<relay::MemberEntry> &members)
{
    PrimaryChange change({GroupName{"g"}, MemberName{"p"}, 1, false, Revision{10}}, reason, at(0), at(0));
    change.setMembers(members);
    const auto stored = actionsOf<StoreRecord>(change.next(at(0)));
    cr_assert(stored.size() == 1 && stored.front().record.changeInProgress);
    change.recorded(Revision{11}, at(4));
    return change;
}

inline const std::vector<relay::MemberEntry> threeMembers{member("p"), member("r1"), member("r2")};

} // namespace cardamomstep::leadership
