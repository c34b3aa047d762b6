// Suggests the closest match for a misspelled word.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomstep::json {

/// Returns the word of \a known with the smallest edit distance to \a word.
///
/// Returns none if that distance exceeds a third of the length of \a word (or 1 for words of fewer than 3 characters), or if \a word is
/// longer than 64 characters.
[[nodiscard]] std::optional<std::string> nearestWord(std::string_view word, const std::vector<std::string> &known);

} // namespace cardamomstep::json
