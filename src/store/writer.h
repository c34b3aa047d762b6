// The writer stamp inside a stored value, by which a write whose reply was lost is recognized.
//
// It is at the top level of the value:
//     {"writer": {"nonce": "N3", "earlier": [{"nonce": "N2", "version": 17}, {"nonce": "N1", "version": 9}]}, ...}
// "earlier" names the versions that this one replaced, newest first, at most `maxEarlierWriters`.
#pragma once

#include "base/result.h"
#include "store/object.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomstep {

/// The maximum number of earlier writers that a value names.
inline constexpr std::size_t maxEarlierWriters = 8;

/// A replaced version and the nonce of its write.
struct EarlierWriter {
    /// Empty when the replaced value had no stamp.
    WriterNonce nonce;
    Revision version;

    [[nodiscard]] bool operator==(const EarlierWriter &) const = default;
};

/// The writer stamp of a value.
struct WriterStamp {
    WriterNonce nonce;
    /// Replaced versions, newest first.
    std::vector<EarlierWriter> earlier;

    [[nodiscard]] bool operator==(const WriterStamp &) const = default;
};

/// Returns the stamp of \a value; an empty stamp when there is none or the value is not a JSON object.
[[nodiscard]] WriterStamp readWriterStamp(std::string_view value);

/// Returns \a value with a stamp of \a nonce, which names \a replaced (null for a new object) and the earlier writers of that.
///
/// Other fields are kept. The error is ErrorKind::InvalidRecord when \a value is not a JSON object.
[[nodiscard]] Result<std::string> withWriterStamp(std::string_view value, const WriterNonce &nonce, const StoredObject *replaced);

} // namespace cardamomstep
