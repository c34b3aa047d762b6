// Writes the answers of the operators' interface.
#pragma once

#include "base/error.h"
#include "base/result.h"
#include "http/message.h"
#include "operators/change.h"
#include "operators/environment.h"
#include "operators/store.h"
#include "records/catalog.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cardamomstep::operators {

/// The most records in one page of a list, and the most changes in one answer of a watch.
inline constexpr std::uint64_t maxPageRecords = 1000;
/// The longest wait of a watch, in milliseconds.
inline constexpr std::uint64_t maxWatchMs = 30'000;

/// Content of the answer to an accepted or proposed change.
struct ChangeAnswer {
    /// False for a dry run and when the stored record is already equal.
    bool written = false;
    std::uint64_t fromVersion = 0;
    std::uint64_t toVersion = 0;
    std::vector<FieldChange> changes;
    /// Paths of the record's fields that this release does not know.
    std::vector<std::string> unknownFields;
    /// True when the audit entry was written as well.
    bool audited = false;
};

/// Returns the answer to a failed request, with all its faults; \a faults must not be empty.
[[nodiscard]] http::Response failureAnswer(const std::vector<Error> &faults);

/// Returns the answer to a change that was accepted, only checked, or had no effect.
[[nodiscard]] http::Response changeAnswer(const ChangeAnswer &answer);

/// Returns one record as the store holds it, without the writer stamp.
[[nodiscard]] http::Response recordAnswer(const StoredText &record);

/// Returns one record from the catalog, for use while the store is unavailable.
[[nodiscard]] http::Response cachedRecordAnswer(const CatalogEntry &entry);

/// Returns a page of the records of \a kind whose names follow the query's `after`; at most the query's `limit`, but always one.
[[nodiscard]] http::Response listAnswer(const Catalog &catalog, RecordKind kind, const http::Request &request);

/// Returns the state of the fleet; with the query's `behind`, it lists only the proxies whose revision is below that.
[[nodiscard]] http::Response
statusAnswer(const InstanceName &self, const Catalog &catalog, const std::vector<ProxyInfo> &proxies, const http::Request &request);

/// Returns the changes of records after \a after, at most maxPageRecords of them; the answer's revision is the next request's `after`.
///
/// The answer is a reset without changes when \a after is 0 or when the catalog no longer knows every deletion since then; the client
/// must then list all records.
[[nodiscard]] http::Response watchAnswer(const Catalog &catalog, std::uint64_t after);

/// Returns the answer with the audit entries \a entries.
[[nodiscard]] http::Response historyAnswer(const std::vector<AuditEntry> &entries);

} // namespace cardamomstep::operators
