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

/// Term and primary of a database group, written after a promotion; never used as a lock.
struct GroupStatus {
    Term term;
    MemberName primary;
    /// Proxy that wrote this.
    InstanceName reportedBy;
    WallTime at{};

    [[nodiscard]] bool operator==(const GroupStatus &) const = default;
};

/// Whether a proxy takes new work.
enum class InstanceState : std::uint8_t {
    Starting, ///< Does not know the current configuration yet.
    Ready,
    Draining, ///< Takes no new callers and finishes what it has.
};

/// State of one proxy; its record's name is the instance's name.
struct InstanceStatus {
    FailureDomain failureDomain;
    /// Peer address.
    Address address;
    InstanceState state = InstanceState::Starting;
    /// Store revision of the configuration in force.
    std::uint64_t revision = 0;
    /// Forms that this proxy reads.
    std::vector<RecordForm> forms;
    WallTime at{};

    [[nodiscard]] bool operator==(const InstanceStatus &) const = default;
};

/// How far a stop plan has come.
enum class PlanProgress : std::uint8_t {
    Waiting, ///< Its time has not come, or other plans of the group go first.
    Draining, ///< Gets no new work; exchanges in flight finish.
    Done, ///< Nothing is in flight: it may be stopped.
    Refused, ///< Cannot be carried out; the detail says why.
};

/// Progress of a stop plan; its record's name is the plan's name.
struct PlanStatus {
    PlanProgress progress = PlanProgress::Waiting;
    /// One sentence for people; may be empty.
    std::string detail;
    /// Proxy that wrote this.
    InstanceName reportedBy;
    WallTime at{};

    [[nodiscard]] bool operator==(const PlanStatus &) const = default;
};

/// One accepted change of a record.
struct AuditEntry {
    /// Name that the operator gave.
    std::string who;
    WallTime at{};
    RecordKey key;
    /// Version before; 0 when the record was created.
    std::uint64_t fromVersion = 0;
    /// Version after, or the revision of the deletion.
    std::uint64_t toVersion = 0;
    bool deleted = false;
    /// What changed, field by field; bounded, see `truncated`.
    std::vector<FieldChange> changes;
    /// True when some changes were left out or cut.
    bool truncated = false;

    [[nodiscard]] bool operator==(const AuditEntry &) const = default;
};

} // namespace cardamomstep
