// The word of a list that was most likely meant.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomstep::json {

/// The word of \a known with the smallest edit distance to \a word; none when all are too far away to be meant.
[[nodiscard]] std::optional<std::string> nearestWord(std::string_view word, const std::vector<std::string> &known);

} // namespace cardamomstep::json
