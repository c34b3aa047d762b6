// The writer's mark inside a stored value, by which a write whose answer was lost is found again.
//
// It sits at the top level of the value:
//     {"writer": {"nonce": "N3", "earlier": [{"nonce": "N2", "version": 17}, {"nonce": "N1", "version": 9}]}, ...}
// "earlier" names the versions that this one replaced, newest first, at most `earlierWritersKept`.
#pragma once

#include "base/result.h"
#include "store/object.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomstep {

/// Most earlier writers that a value names.
inline constexpr std::size_t maxEarlierWriters = 8;

/// A version that was replaced, and who wrote it.
struct EarlierWriter {
    /// Empty when the replaced value carried no mark.
    WriterNonce nonce;
    Revision version;

    [[nodiscard]] bool operator==(const EarlierWriter &) const = default;
};

/// The writer's mark of a value.
struct WriterStamp {
    WriterNonce nonce;
    /// Replaced versions, newest first.
    std::vector<EarlierWriter> earlier;

    [[nodiscard]] bool operator==(const WriterStamp &) const = default;
};

/// Reads the mark of \a value; an empty mark when there is none or the value is no JSON object.
[[nodiscard]] WriterStamp readWriterStamp(std::string_view value);

/// Returns \a value with the mark of \a nonce, naming \a replaced (null for a new object) and its own earlier writers.
///
/// Other fields are kept. The error is ErrorKind::InvalidRecord when \a value is no JSON object.
[[nodiscard]] Result<std::string> withWriterStamp(std::string_view value, const WriterNonce &nonce, const StoredObject *replaced);

} // namespace cardamomstep
