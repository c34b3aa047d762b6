// The records that the system writes: status of groups, instances and plans, and the audit trail.
#pragma once

#include "base/ids.h"
#include "base/logposition.h"
#include "records/configuration.h"
#include "records/diff.h"
#include "records/fwd.h"
#include "records/kind.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cardamomstep {

/// Term and primary of a database group, written after a promotion; informative only, never used as a lock.
struct GroupStatus {
    Term term;
    MemberName primary;
    /// The proxy that wrote this record.
    InstanceName reportedBy;
    WallTime at{};

    [[nodiscard]] bool operator==(const GroupStatus &) const = default;
};

/// Whether a proxy accepts new callers.
enum class InstanceState : std::uint8_t {
    Starting, ///< Has not loaded the current configuration yet.
    Ready,
    Draining, ///< Accepts no new callers and finishes the work that it has.
};

/// State of one proxy; its record's name is the instance's name.
struct InstanceStatus {
    FailureDomain failureDomain;
    /// Peer address.
    Address address;
    InstanceState state = InstanceState::Starting;
    /// Store revision of the configuration in force.
    std::uint64_t revision = 0;
    /// Forms that this proxy can read.
    std::vector<RecordForm> forms;
    WallTime at{};

    [[nodiscard]] bool operator==(const InstanceStatus &) const = default;
};

/// Progress of a stop plan.
enum class PlanProgress : std::uint8_t {
    Waiting, ///< Its time is not reached, or other plans of the group take effect first.
    Draining, ///< The target gets no new work; exchanges in flight finish.
    Done, ///< Nothing is in flight: the target may be stopped.
    Refused, ///< Cannot be executed; `detail` has the reason.
};

/// Status of a stop plan; its record's name is the plan's name.
struct PlanStatus {
    PlanProgress progress = PlanProgress::Waiting;
    /// One sentence for operators; may be empty.
    std::string detail;
    /// The proxy that wrote this record.
    InstanceName reportedBy;
    WallTime at{};

    [[nodiscard]] bool operator==(const PlanStatus &) const = default;
};

/// One accepted change of a record.
struct AuditEntry {
    /// Name that the operator gave; "system:INSTANCE" for a promotion, which a proxy records itself.
    std::string who;
    WallTime at{};
    RecordKey key;
    /// Version before; 0 when the record was created.
    std::uint64_t fromVersion = 0;
    /// Version after, or the revision of the deletion; for a promotion the number of its term.
    std::uint64_t toVersion = 0;
    bool deleted = false;
    /// The changed fields; limited in number and size, see `truncated`.
    std::vector<FieldChange> changes;
    /// True when some changes were omitted or shortened.
    bool truncated = false;

    [[nodiscard]] bool operator==(const AuditEntry &) const = default;
};

} // namespace cardamomstep
