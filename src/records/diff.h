// Compares two records field by field.
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
    /// Old value as JSON text; none when the field was missing.
    std::optional<std::string> before;
    /// New value as JSON text; none when the field is missing.
    std::optional<std::string> after;

    [[nodiscard]] auto operator<=>(const FieldChange &) const = default;
};

/// Returns the fields that differ between \a before and \a after, sorted by path; a null record has no fields.
///
/// Records in different schema versions are compared in the version of \a after, so that a mere change of the schema version is one
/// change, of the field "schema". Members and prefix rules are matched by name or prefix, not by index.
[[nodiscard]] std::vector<FieldChange> diffRecords(const Record *before, const Record *after);

/// Truncates \a changes to \a maxChanges fields and replaces each value above \a maxValueBytes by a note of its size.
///
/// Returns true when anything was truncated.
bool boundChanges(std::vector<FieldChange> &changes, std::size_t maxChanges, std::size_t maxValueBytes);

} // namespace cardamomstep
