// Edit distance between words.
#include "json/nearest.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace cardamomstep::json {

namespace {

constexpr std::size_t maxWordLength = 64;

/// Returns the minimum number of characters to insert, delete or replace to turn \a from into \a to.
std::size_t editDistance(std::string_view from, std::string_view to)
{
    std::vector<std::size_t> row(to.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 1; i <= from.size(); ++i) {
        auto diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= to.size(); ++j) {
            const auto replaced = diagonal + (from[i - 1] == to[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({replaced, row[j] + 1, row[j - 1] + 1});
        }
    }
    return row.back();
}

} // namespace

std::optional<std::string> nearestWord(std::string_view word, const std::vector<std::string> &known)
{
    if (word.size() > maxWordLength) {
        return std::nullopt;
    }
    std::optional<std::string> nearest;
    auto distanceBound = std::max<std::size_t>(word.size() / 3, 1) + 1;
    for (const auto &candidate : known) {
        const auto distance = editDistance(word, candidate);
        if (distance < distanceBound) {
            distanceBound = distance;
            nearest = candidate;
        }
    }
    return nearest;
}

} // namespace cardamomstep::json
