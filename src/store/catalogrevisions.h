// The revisions of the catalog that a process knows.
#pragma once

#include "store/object.h"

#include <algorithm>

namespace cardamomstep {

/// Revisions of the newest known change of the operators' configuration and of the members' entries; 0 where none is known.
struct CatalogRevisions {
    Revision configuration;
    Revision members;

    /// Raises each revision to that of \a other where that is higher.
    void advanceTo(const CatalogRevisions &other) noexcept
    {
        configuration = std::max(configuration, other.configuration);
        members = std::max(members, other.members);
    }

    [[nodiscard]] bool operator==(const CatalogRevisions &) const = default;
};

} // namespace cardamomstep
