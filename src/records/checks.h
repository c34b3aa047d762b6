// Checks records against each other; the checks within one record are made when it is read.
#pragma once

#include "base/ids.h"
#include "base/quorum.h"
#include "base/result.h"
#include "records/fwd.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace cardamomstep {

/// Returns the faults of adding \a candidate to the records in \a catalog; empty when there are none.
///
/// ErrorKind::InvalidRecord: an intent names a group that no record describes, or a service that another intent names; an active plan
/// names an unknown member; a customer has a key of another one. ErrorKind::PlanRefused: the active plans would leave a group without a
/// majority of its members.
[[nodiscard]] std::vector<Error> checkCandidate(const Catalog &catalog, const Record &candidate);

/// Returns the faults of deleting \a key: ErrorKind::InvalidRecord for a group that an intent or an active plan names.
[[nodiscard]] std::vector<Error> checkRemoval(const Catalog &catalog, const RecordKey &key);

/// Returns the members of \a group that active plans stop, in order of the plans' store versions.
///
/// Two plans that are accepted at the same moment can together leave no majority. Then the one with the lower store version takes effect
/// and the other one waits, so all proxies with the same catalog agree. The plans' times are ignored.
[[nodiscard]] std::vector<MemberName> leavingMembers(const Catalog &catalog, const GroupName &group);

} // namespace cardamomstep
