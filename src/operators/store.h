// What the operators' interface requires of the platform's store.
#pragma once

#include "base/result.h"
#include "operators/fwd.h"
#include "records/kind.h"

#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

namespace cardamomstep::operators {

/// A record's text as the store holds it, with its version.
struct StoredText {
    RecordKey key;
    std::uint64_t version = 0;
    std::string text;
};

/// The store as the operators' interface uses it; must be thread-safe, and each call must return within a bounded time.
///
/// - `get(key)`: the record; ErrorKind::NotFound when there is none, ErrorKind::StoreUnavailable for any other failure.
/// - `list(kind)`: all records of a kind.
/// - `put(key, text, replaced)`: writes the record if `replaced` is still the current version (null: if there is none) and returns the
///   new version. A lost reply of the store is resolved before it returns. ErrorKind::Conflict holds the current version; after
///   Conflict, StoreUnavailable and TooLarge nothing was changed; after ErrorKind::StoreOutcomeUnknown the write may have taken effect.
/// - `remove(key, version)`: removes the record if `version` is the current one and returns the revision of the deletion, or 0 when
///   only the record's absence was confirmed; errors as for `put`.
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
