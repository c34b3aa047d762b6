// Typed reading of JSON objects that collects every fault instead of stopping at the first.
#pragma once

#include "json/fwd.h"

#include <nlohmann/json.hpp>

#include <array>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cardamomstep::json {

/// What is wrong at one key path.
struct Fault {
    std::string path;
    /// What was expected there and what was found.
    std::string expected;
};

/// Lowest and highest value allowed, both included.
template<std::integral T>
struct Range {
    T low = std::numeric_limits<T>::min();
    T high = std::numeric_limits<T>::max();
};

/// Fewest and most characters of a text, or elements of an array.
struct Length {
    std::size_t low = 0;
    std::size_t high = 0;
};

/// Reads the fields of one JSON object and remembers which keys were asked for.
///
/// Every fault goes to the list that the constructor was given; a faulty field reads as its fallback or an empty value, so reading
/// goes on. The object and the list must outlive the reader.
///
/// Example:
/// \code
/// std::vector<Fault> faults;
/// ObjectReader reader(value, "limits", faults);
/// const auto threads = reader.number<unsigned>("threads", {1, 512}, 64);
/// reader.rejectUnknown();
/// \endcode
class ObjectReader
{
public:
    /// Reads \a value, which stands at \a path; a value that is not an object is a fault.
    ObjectReader(const nlohmann::json &value, std::string path, std::vector<Fault> &faults);

    /// The path of this object.
    [[nodiscard]] const std::string &path() const noexcept
    {
        return path_;
    }

    /// True when \a key is present; marks it as known.
    [[nodiscard]] bool has(const std::string &key);

    /// A required text.
    [[nodiscard]] std::string text(const std::string &key, Length length);

    /// A text that may be missing.
    [[nodiscard]] std::optional<std::string> optionalText(const std::string &key, Length length);

    /// A required whole number.
    template<std::integral T>
    [[nodiscard]] T number(const std::string &key, Range<T> range)
    {
        const auto found = optionalNumber<T>(key, range);
        if (!found && !has(key)) {
            missing(key);
        }
        return found.value_or(range.low);
    }

    /// A whole number that is \a fallback when it is missing.
    template<std::integral T>
    [[nodiscard]] T number(const std::string &key, Range<T> range, T fallback)
    {
        return optionalNumber<T>(key, range).value_or(fallback);
    }

    /// A whole number that may be missing.
    template<std::integral T>
    [[nodiscard]] std::optional<T> optionalNumber(const std::string &key, Range<T> range)
    {
        const auto *value = find(key);
        if (value == nullptr) {
            return std::nullopt;
        }
        const bool negative = value->is_number_integer() && !value->is_number_unsigned() && value->get<std::int64_t>() < 0;
        if (negative && std::in_range<T>(value->get<std::int64_t>())) {
            const auto read = static_cast<T>(value->get<std::int64_t>());
            if (read >= range.low && read <= range.high) {
                return read;
            }
        }
        if (value->is_number_integer() && !negative && std::in_range<T>(value->get<std::uint64_t>())) {
            const auto read = static_cast<T>(value->get<std::uint64_t>());
            if (read >= range.low && read <= range.high) {
                return read;
            }
        }
        unexpected(key, "a whole number from " + std::to_string(range.low) + " to " + std::to_string(range.high), *value);
        return std::nullopt;
    }

    /// A truth value that is \a fallback when it is missing.
    [[nodiscard]] bool boolean(const std::string &key, bool fallback);

    /// One of a closed list of words; \a fallback when it is missing, a fault when there is no fallback either.
    template<typename Value, std::size_t Count>
    [[nodiscard]] Value
    oneOf(const std::string &key, const std::array<std::pair<std::string_view, Value>, Count> &words, std::optional<Value> fallback)
    {
        const auto *value = find(key);
        if (value == nullptr) {
            if (!fallback) {
                missing(key);
            }
            return fallback.value_or(words.front().second);
        }
        std::string choices;
        for (const auto &[word, meaning] : words) {
            if (value->is_string() && value->get_ref<const std::string &>() == word) {
                return meaning;
            }
            choices += (choices.empty() ? "one of \"" : "\", \"") + std::string(word);
        }
        unexpected(key, choices + "\"", *value);
        return fallback.value_or(words.front().second);
    }

    /// A required nested object; reads as an empty object when it is missing.
    [[nodiscard]] ObjectReader object(const std::string &key);

    /// A nested object that may be missing, when each of its fields has a fallback.
    [[nodiscard]] ObjectReader optionalObject(const std::string &key);

    /// The elements of a required array; reads as empty when it is faulty.
    [[nodiscard]] const nlohmann::json &array(const std::string &key, Length length);

    /// The elements of an array that is empty when it is missing.
    [[nodiscard]] const nlohmann::json &optionalArray(const std::string &key, Length length);

    /// Reports the fault that \a key is not as expected.
    void fault(const std::string &key, std::string expected);

    /// Reports every key that was never asked for, naming the nearest known one.
    void rejectUnknown();

    /// The keys that were never asked for.
    [[nodiscard]] std::vector<std::string> unknownKeys() const;

    /// The value of \a key as it stands; null when it is missing. Marks it as known.
    [[nodiscard]] const nlohmann::json *find(const std::string &key);

private:
    void missing(const std::string &key);
    void unexpected(const std::string &key, const std::string &expected, const nlohmann::json &found);
    [[nodiscard]] const nlohmann::json &checkedArray(const std::string &key, Length length, const nlohmann::json *value);

    // Never null; an empty object when the value was none.
    const nlohmann::json *value_;
    std::string path_;
    std::vector<Fault> *faults_;
    std::set<std::string> known_;
};

} // namespace cardamomstep::json
