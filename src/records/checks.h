// Checks of a record against the others: what must hold between records, not within one.
#pragma once

#include "base/ids.h"
#include "base/quorum.h"
#include "base/result.h"
#include "records/fwd.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace cardamomstep {

/// The faults of putting \a candidate beside the records in \a catalog; empty when there are none.
///
/// ErrorKind::InvalidRecord: an intent names a group that no record describes, or a service that another intent describes; a plan names
/// an unknown member. ErrorKind::PlanRefused: the active plans would leave a group without a majority of its members.
[[nodiscard]] std::vector<Error> checkCandidate(const Catalog &catalog, const Record &candidate);

/// The faults of deleting \a key: ErrorKind::InvalidRecord when an intent or an active plan needs it.
[[nodiscard]] std::vector<Error> checkRemoval(const Catalog &catalog, const RecordKey &key);

/// Members of \a group that active plans send away, oldest plan first.
///
/// Two plans can be accepted at the same moment and leave no majority together. Then the one with the lower store version counts and the
/// other one waits; all proxies with the same catalog agree on which. Times are not looked at.
[[nodiscard]] std::vector<MemberName> leavingMembers(const Catalog &catalog, const GroupName &group);

} // namespace cardamomstep
