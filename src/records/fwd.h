// Forward declarations of the records module.
#pragma once

#include "base/ids.h"

#include <cstdint>

namespace cardamomstep {

enum class RecordKind : std::uint8_t;
enum class SchemaVersion : std::uint8_t;
struct RecordKey;
struct RecordForm;
struct Record;
struct StoredRecord;
struct RecordChange;
struct DatabaseGroup;
struct RoutingIntent;
struct StopPlan;
struct GroupStatus;
struct InstanceStatus;
struct PlanStatus;
struct AuditEntry;
struct FieldChange;
class Catalog;

/// Name of a record within its kind; see isValidName().
using RecordName = StrongId<struct RecordNameTag>;

} // namespace cardamomstep
