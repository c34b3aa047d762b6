// Records: envelope and typed content, read from and written to JSON in every schema version.
#pragma once

#include "records/configuration.h"
#include "records/kind.h"
#include "records/status.h"
#include "json/checked.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cardamomstep {

/// Typed content of a record; the alternatives are in the order of RecordKind.
using RecordSpec = std::variant<DatabaseGroup, RoutingIntent, StopPlan, CustomerSpec, GroupStatus, InstanceStatus, PlanStatus, AuditEntry>;

/// Who wrote a version of a record, and when; stored in the same object as the content, so that both are written atomically.
struct ChangeStamp {
    /// Name that the operator gave; empty when the system wrote it.
    std::string who;
    WallTime at{};

    [[nodiscard]] bool operator==(const ChangeStamp &) const = default;
};

/// One record.
struct Record {
    RecordName name;
    /// The schema version in which the record was read and is written.
    SchemaVersion schema = SchemaVersion::V1;
    RecordSpec spec;
    /// Fields that this release does not know, as the text of a JSON object; they are written with the record.
    std::string unknownFields = "{}";
    ChangeStamp change;

    /// The kind, from the content.
    [[nodiscard]] RecordKind kind() const noexcept
    {
        return static_cast<RecordKind>(spec.index());
    }
    /// Kind and name.
    [[nodiscard]] RecordKey key() const
    {
        return {kind(), name};
    }
    /// Kind and schema version.
    [[nodiscard]] RecordForm form() const noexcept
    {
        return {kind(), schema};
    }

    [[nodiscard]] bool operator==(const Record &) const = default;
};

/// A record with its version in the store.
struct StoredRecord {
    Record record;
    std::uint64_t version = 0;

    [[nodiscard]] bool operator==(const StoredRecord &) const = default;
};

/// Reads one record; \a fileName is only used for the positions of faults.
///
/// Faults have the kind ErrorKind::InvalidRecord, ErrorKind::UnsupportedVersion for an unknown schema version, or
/// ErrorKind::TooLarge; each holds line and key path. Unknown fields are not faults; the store client's field "writer" is skipped.
[[nodiscard]] Checked<Record> readRecord(const std::string &fileName, std::string_view text);

/// Reads a text that holds one record or an array of records; faults as for readRecord().
[[nodiscard]] Checked<std::vector<Record>> readRecords(const std::string &fileName, std::string_view text);

/// Returns \a record as JSON text in its own schema version.
[[nodiscard]] std::string writeRecord(const Record &record);

/// Returns \a record as indented JSON text in its own schema version.
[[nodiscard]] std::string writeRecordIndented(const Record &record);

/// Returns the paths of the fields that this release does not know.
[[nodiscard]] std::vector<std::string> unknownFieldPaths(const Record &record);

} // namespace cardamomstep
