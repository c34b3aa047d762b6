// How new the catalog is that a process knows.
#pragma once

#include "store/object.h"

#include <algorithm>

namespace cardamomstep {

/// Revisions of the newest change of the operators' configuration and of the members' entries; 0 where none is known.
struct CatalogMarks {
    Revision configuration;
    Revision members;

    /// Raises each mark to that of \a other.
    void raise(const CatalogMarks &other) noexcept
    {
        configuration = std::max(configuration, other.configuration);
        members = std::max(members, other.members);
    }

    [[nodiscard]] bool operator==(const CatalogMarks &) const = default;
};

} // namespace cardamomstep
