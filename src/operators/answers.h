// The answers of the operators' interface.
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

/// Most records of one page of a list.
inline constexpr std::uint64_t maxPageRecords = 1000;
/// Longest wait of a watch.
inline constexpr std::uint64_t maxWatchMs = 30'000;

/// An accepted or proposed change, for the answer.
struct ChangeAnswer {
    /// False for a dry run and for a record that is as wanted already.
    bool written = false;
    std::uint64_t fromVersion = 0;
    std::uint64_t toVersion = 0;
    std::vector<FieldChange> changes;
    /// Paths of fields that this release does not know.
    std::vector<std::string> unknownFields;
    /// True when the audit entry was written, too.
    bool audited = false;
};

/// The answer to a request that failed, with all its faults; \a faults is not empty.
[[nodiscard]] http::Response failureAnswer(const std::vector<Error> &faults);

/// The answer to an accepted, proposed or needless change.
[[nodiscard]] http::Response changeAnswer(const ChangeAnswer &answer);

/// One record, as the store gave it.
[[nodiscard]] http::Response recordAnswer(const StoredText &record);

/// One record from the catalog, for times when the store is away.
[[nodiscard]] http::Response cachedRecordAnswer(const CatalogEntry &entry);

/// A page of the records of the kind in \a key, from the names after the query's `after`, at most the query's `limit`.
[[nodiscard]] http::Response listAnswer(const Catalog &catalog, RecordKind kind, const http::Request &request);

/// State of the fleet; only the proxies whose configuration has not come up to the query's `behind`, when that is given.
[[nodiscard]] http::Response
statusAnswer(const InstanceName &self, const Catalog &catalog, const std::vector<ProxyInfo> &proxies, const http::Request &request);

/// Changes of records after \a after, at most maxPage of them; the answer's revision is what to ask after next.
///
/// A reset, without changes, when \a after is 0 or some deletion since then is not known any more: list the records anew.
[[nodiscard]] http::Response watchAnswer(const Catalog &catalog, std::uint64_t after);

/// Audit entries.
[[nodiscard]] http::Response historyAnswer(const std::vector<AuditEntry> &entries);

} // namespace cardamomstep::operators
