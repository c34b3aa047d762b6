// Checks proposed changes of records, creates their audit entries and selects entries for the history.
#pragma once

#include "operators/environment.h"
#include "operators/route.h"
#include "operators/store.h"
#include "records/catalog.h"
#include "records/diff.h"
#include "records/record.h"
#include "json/checked.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomstep::operators {

/// The most fields that one audit entry lists, and the most bytes of one value.
inline constexpr std::size_t maxAuditChanges = 32;
inline constexpr std::size_t maxAuditValueBytes = 128;
/// The number of audit entries that are kept; the oldest ones above it are removed.
inline constexpr std::size_t maxAuditEntries = 4096;
/// The most audit entries that one cleanup removes.
inline constexpr std::size_t maxAuditEntriesDroppedAtOnce = 256;

/// A change that has passed all checks.
struct ProposedChange {
    /// The record to write, including its change stamp.
    Record record;
    /// Differences from the current version; empty when there is nothing to write.
    std::vector<FieldChange> changes;
};

/// Reads the record in a request's \a body; checks that it is the one that \a route names and that operators may write its kind.
[[nodiscard]] Checked<Record> readCandidate(const Route &route, std::string_view body);

/// Checks \a candidate against the other records and the live proxies and compares it with \a current (null when there is none).
///
/// The error is ErrorKind::UnsupportedVersion when \a current has a schema version that this release cannot read.
[[nodiscard]] Checked<ProposedChange> proposeChange(const Record &candidate,
                                                    const StoredText *current,
                                                    const Catalog &catalog,
                                                    const std::vector<ProxyInfo> &proxies,
                                                    const ChangeStamp &change);

/// Returns the conflict between \a route's expected version and \a current (0: no record exists); none when they agree.
[[nodiscard]] std::optional<Error> checkExpected(const Route &route, std::uint64_t current);

/// Returns the audit entry of a change of \a key; \a changes are shortened to the limits above.
[[nodiscard]] Record auditRecord(const RecordKey &key,
                                 const ChangeStamp &change,
                                 std::uint64_t fromVersion,
                                 std::uint64_t toVersion,
                                 std::vector<FieldChange> changes,
                                 bool deleted);

/// True when old entries are to be dropped after writing \a entry; decided by a hash, about once in 64 entries.
[[nodiscard]] bool isTimeToDropEntries(const RecordName &entry) noexcept;

/// Returns the oldest of \a entries above maxAuditEntries, at most maxAuditEntriesDroppedAtOnce.
[[nodiscard]] std::vector<StoredText> entriesToDrop(std::vector<StoredText> entries);

/// Filter of a history request.
struct HistoryFilter {
    std::optional<RecordKind> kind;
    /// Record name; empty matches all, as does an empty operator name.
    std::string name;
    std::string who;
    WallTime since{};
    std::size_t limit = 0;
};

/// Parses the filter of a history request; the error is ErrorKind::MalformedRequest.
[[nodiscard]] Result<HistoryFilter> readHistoryFilter(const http::Request &request);

/// Returns the entries that match \a filter, newest first, at most its limit; entries that cannot be read are skipped.
[[nodiscard]] std::vector<AuditEntry> selectHistory(const std::vector<StoredText> &entries, const HistoryFilter &filter);

} // namespace cardamomstep::operators
