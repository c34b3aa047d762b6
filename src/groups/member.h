// A configured member of a database group.
#pragma once

#include "base/ids.h"
#include "base/quorum.h"

#include <compare>
#include <cstddef>

namespace cardamomstep {

/// A member's name and the address that it listens on.
struct GroupMember {
    MemberName name;
    Address address;

    [[nodiscard]] auto operator<=>(const GroupMember &) const = default;
    [[nodiscard]] bool operator==(const GroupMember &) const = default;
};

} // namespace cardamomstep
