// What the operators' interface needs of the platform's store.
#pragma once

#include "base/result.h"
#include "operators/fwd.h"
#include "records/kind.h"

#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

namespace cardamomstep::operators {

/// A record's text as it stands in the store.
struct StoredText {
    RecordKey key;
    std::uint64_t version = 0;
    std::string text;
};

/// The store as the operators' interface uses it; called by many threads at once, each call bounded in time.
///
/// - `get(key)`: ErrorKind::NotFound when there is none, else ErrorKind::StoreUnavailable.
/// - `list(kind)`: all records of a kind.
/// - `put(key, text, replaced)`: puts where `replaced` is still the current version (null: where there is none) and gives the new
///   version. A lost answer is resolved before it returns. ErrorKind::Conflict tells the current version; Conflict,
///   StoreUnavailable and TooLarge say that nothing was changed; ErrorKind::StoreOutcomeUnknown says that it may have been.
/// - `remove(key, version)`: removes where `version` is current and gives the revision of the deletion, or 0 when only the
///   record's absence was confirmed; errors as for `put`.
template<typename T>
concept RecordStore =
    requires(T store, const RecordKey &key, RecordKind kind, std::string text, const StoredText *replaced, std::uint64_t version)
{
    {
        store.get(key)
        } -> std::same_as<Result<StoredText>>;
    {
        store.list(kind)
        } -> std::same_as<Result<std::vector<StoredText>>>;
    {
        store.put(key, std::move(text), replaced)
        } -> std::same_as<Result<std::uint64_t>>;
    {
        store.remove(key, version)
        } -> std::same_as<Result<std::uint64_t>>;
};

} // namespace cardamomstep::operators
