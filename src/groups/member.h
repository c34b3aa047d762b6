// A configured member of a database group.
#pragma once

#include "base/ids.h"

#include <compare>
#include <cstddef>

namespace cardamomstep {

/// A member and where it listens.
struct GroupMember {
    MemberName name;
    Address address;

    [[nodiscard]] auto operator<=>(const GroupMember &) const = default;
    [[nodiscard]] bool operator==(const GroupMember &) const = default;
};

/// Smallest number of members that is more than half of \a members.
[[nodiscard]] constexpr std::size_t majorityOf(std::size_t members) noexcept
{
    return members / 2 + 1;
}

} // namespace cardamomstep
