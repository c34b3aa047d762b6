// The kinds of records, their schema versions and the keys of records.
#pragma once

#include "records/fwd.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>

namespace cardamomstep {

/// The kinds of records in the platform's store.
enum class RecordKind : std::uint8_t {
    DatabaseGroup, ///< Members and limits of a database group; written by operators.
    RoutingIntent, ///< Which groups hold a service's keys; written by operators.
    StopPlan, ///< A member or proxy to be stopped; written by operators.
    Customer, ///< Keys and limit of a customer; written by operators.
    GroupStatus, ///< Term and primary of a group; written by the system.
    InstanceStatus, ///< State of a proxy; written by the system.
    PlanStatus, ///< Progress of a stop plan; written by the system.
    AuditEntry, ///< An accepted change; written by the system.
};

/// All kinds, in the order in which the command `apply` writes them.
inline constexpr std::array<RecordKind, 8> allRecordKinds{RecordKind::DatabaseGroup,
                                                          RecordKind::RoutingIntent,
                                                          RecordKind::StopPlan,
                                                          RecordKind::Customer,
                                                          RecordKind::GroupStatus,
                                                          RecordKind::InstanceStatus,
                                                          RecordKind::PlanStatus,
                                                          RecordKind::AuditEntry};

/// The schema versions of records; this release reads and writes both.
enum class SchemaVersion : std::uint8_t {
    V1,
    V2,
};

/// The longest name of a record, group, member, service or instance.
inline constexpr std::size_t maxNameLength = 63;

/// Identifies a record in the store.
struct RecordKey {
    RecordKind kind = RecordKind::DatabaseGroup;
    RecordName name;

    [[nodiscard]] auto operator<=>(const RecordKey &) const = default;
};

/// A kind in one schema version.
struct RecordForm {
    RecordKind kind = RecordKind::DatabaseGroup;
    SchemaVersion schema = SchemaVersion::V1;

    [[nodiscard]] auto operator<=>(const RecordForm &) const = default;
};

/// Returns the stable name of \a kind, for example "DatabaseGroup"; it is also the object kind in the store.
[[nodiscard]] std::string_view toText(RecordKind kind) noexcept;
/// Returns "v1" or "v2".
[[nodiscard]] std::string_view toText(SchemaVersion schema) noexcept;
/// Returns "KIND/NAME".
[[nodiscard]] std::string toText(const RecordKey &key);
/// Returns "KIND/vN".
[[nodiscard]] std::string toText(const RecordForm &form);

/// Returns the kind with the stable \a name; none when there is no such kind.
[[nodiscard]] std::optional<RecordKind> recordKindFromText(std::string_view name) noexcept;
/// Returns the schema version with the given \a name; none when this release cannot read it.
[[nodiscard]] std::optional<SchemaVersion> schemaVersionFromText(std::string_view name) noexcept;
/// Parses a form that toText() wrote; none when this release does not know it.
[[nodiscard]] std::optional<RecordForm> recordFormFromText(std::string_view text) noexcept;

/// True for the kinds that operators write; only the system writes the others.
[[nodiscard]] bool isWrittenByOperators(RecordKind kind) noexcept;

/// True when \a name is 1 to maxNameLength letters, digits, '-', '.' and '_', and begins with a letter or digit.
[[nodiscard]] bool isValidName(std::string_view name) noexcept;

std::ostream &operator<<(std::ostream &out, RecordKind kind);
std::ostream &operator<<(std::ostream &out, SchemaVersion schema);
std::ostream &operator<<(std::ostream &out, const RecordKey &key);

} // namespace cardamomstep
