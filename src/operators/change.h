// Decides whether a proposed change of a record is acceptable, and what the audit trail keeps of it.
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

/// Most fields that one audit entry lists, and most bytes of one value.
inline constexpr std::size_t maxAuditChanges = 32;
inline constexpr std::size_t maxAuditValueBytes = 128;
/// Audit entries that are kept; above, the oldest go.
inline constexpr std::size_t maxAuditEntries = 4096;
/// Most entries that one pass of cleaning up removes.
inline constexpr std::size_t maxAuditEntriesDroppedAtOnce = 256;

/// A change that passed all checks.
struct ProposedChange {
    /// The record to write, marked with who and when.
    Record record;
    /// Differences to the current version; empty when there is nothing to write.
    std::vector<FieldChange> changes;
};

/// Reads the record in a request's \a body and checks that it is the one that \a route names and that operators may write it.
[[nodiscard]] Checked<Record> readCandidate(const Route &route, std::string_view body);

/// Checks \a candidate against the other records and the live proxies, and compares it with \a current (null when there is none).
///
/// ErrorKind::UnsupportedVersion when \a current is in a form that this release cannot read.
[[nodiscard]] Checked<ProposedChange> proposeChange(const Record &candidate,
                                                    const StoredText *current,
                                                    const Catalog &catalog,
                                                    const std::vector<ProxyInfo> &proxies,
                                                    const ChangeStamp &change);

/// The conflict of \a route's expected version with \a current (0 when there is none); none when they agree.
[[nodiscard]] std::optional<Error> checkExpected(const Route &route, std::uint64_t current);

/// The audit trail's record of a change from \a before (null: created) to \a after (null: deleted).
[[nodiscard]] Record auditRecord(const RecordKey &key,
                                 const ChangeStamp &change,
                                 std::uint64_t fromVersion,
                                 std::uint64_t toVersion,
                                 std::vector<FieldChange> changes,
                                 bool deleted);

/// True when writing \a entry is a time to drop old entries; about once in 64 entries.
[[nodiscard]] bool isTimeToDropEntries(const RecordName &entry) noexcept;

/// The oldest of \a entries beyond auditEntriesKept, at most auditEntriesDroppedAtOnce.
[[nodiscard]] std::vector<StoredText> entriesToDrop(std::vector<StoredText> entries);

/// Which audit entries are asked for.
struct HistoryFilter {
    std::optional<RecordKind> kind;
    /// Empty for all.
    std::string name;
    std::string who;
    WallTime since{};
    std::size_t limit = 0;
};

/// Reads the filter of a history request; the error is ErrorKind::MalformedRequest.
[[nodiscard]] Result<HistoryFilter> readHistoryFilter(const http::Request &request);

/// The entries that \a filter lets through, newest first.
[[nodiscard]] std::vector<AuditEntry> selectHistory(const std::vector<StoredText> &entries, const HistoryFilter &filter);

} // namespace cardamomstep::operators
