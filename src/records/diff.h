// The difference of two records, field by field.
#pragma once

#include "records/fwd.h"

#include <optional>
#include <string>
#include <vector>

namespace cardamomstep {

/// One field that differs.
struct FieldChange {
    /// Path of the field, for example "spec.members[ledger-1-a].address".
    std::string field;
    /// Value as a JSON text; none when the field was missing.
    std::optional<std::string> before;
    std::optional<std::string> after;

    [[nodiscard]] auto operator<=>(const FieldChange &) const = default;
};

/// The fields that differ between \a before and \a after; a null record has no fields.
///
/// Records in different schema versions are compared in the version of \a after, so that a pure change of form shows as one
/// change of "schema". Members and prefix rules are matched by name, not by place.
[[nodiscard]] std::vector<FieldChange> diffRecords(const Record *before, const Record *after);

/// Cuts \a changes to \a maxChanges fields and each value to \a maxValueBytes; true when anything was cut.
bool boundChanges(std::vector<FieldChange> &changes, std::size_t maxChanges, std::size_t maxValueBytes);

} // namespace cardamomstep
