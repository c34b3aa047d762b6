// The revisions of the catalog that a process knows.
#pragma once

#include "store/object.h"

#include <algorithm>

namespace cardamomstep {

/// Revisions of the newest known change of the operators' configuration, of the members' entries and of the proxies' entries; 0 where none
/// is known.
struct CatalogRevisions {
    Revision configuration;
    Revision members;
    Revision proxies;

    /// Raises each revision to that of \a other where that is higher.
    void advanceTo(const CatalogRevisions &other) noexcept
    {
        configuration = std::max(configuration, other.configuration);
        members = std::max(members, other.members);
        proxies = std::max(proxies, other.proxies);
    }

    [[nodiscard]] bool operator==(const CatalogRevisions &) const = default;
};

} // namespace cardamomstep
