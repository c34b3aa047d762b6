// Typed reading of JSON objects that collects all faults instead of stopping at the first.
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

/// A fault at one key path.
struct Fault {
    std::string path;
    /// Description of the fault, for example what was expected and what was found.
    std::string description;
};

/// Minimum and maximum value, both inclusive.
template<std::integral T>
struct Range {
    T low = std::numeric_limits<T>::min();
    T high = std::numeric_limits<T>::max();
};

/// Minimum and maximum of a number that need not be whole, both inclusive.
struct DecimalRange {
    double low = 0;
    double high = 0;
};

/// Minimum and maximum size, both inclusive: bytes of a string or elements of an array.
struct Length {
    std::size_t low = 0;
    std::size_t high = 0;
};

/// Reads the fields of one JSON object and records which keys were requested.
///
/// Each fault is appended to the list passed to the constructor; a faulty field yields its fallback or an empty value, so that
/// reading continues. The object and the list must outlive the reader.
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
    /// Creates a reader of \a value, whose path is \a path; a value that is not an object is a fault.
    ObjectReader(const nlohmann::json &value, std::string path, std::vector<Fault> &faults);

    /// Returns the path of this object.
    [[nodiscard]] const std::string &path() const noexcept
    {
        return path_;
    }

    /// Returns true if \a key is present; marks the key as known.
    [[nodiscard]] bool has(const std::string &key);

    /// Returns a required string; empty if it is missing or faulty.
    [[nodiscard]] std::string text(const std::string &key, Length length);

    /// Returns a string; none if it is missing or faulty.
    [[nodiscard]] std::optional<std::string> optionalText(const std::string &key, Length length);

    /// Returns a required whole number; the lowest allowed one if it is missing or faulty.
    template<std::integral T>
    [[nodiscard]] T number(const std::string &key, Range<T> range)
    {
        const auto found = optionalNumber<T>(key, range);
        if (!found && !has(key)) {
            missing(key);
        }
        return found.value_or(range.low);
    }

    /// Returns a whole number; \a fallback if it is missing or faulty.
    template<std::integral T>
    [[nodiscard]] T number(const std::string &key, Range<T> range, T fallback)
    {
        return optionalNumber<T>(key, range).value_or(fallback);
    }

    /// Returns a whole number; none if it is missing or faulty.
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

    /// Returns a number from \a low to \a high; \a fallback if it is missing or faulty.
    [[nodiscard]] double decimal(const std::string &key, DecimalRange range, double fallback);

    /// Returns a boolean; \a fallback if it is missing or faulty.
    [[nodiscard]] bool boolean(const std::string &key, bool fallback);

    /// Returns the value for one of \a words; \a fallback if the key is missing, which is a fault if there is no fallback.
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

    /// Returns a reader of a required nested object; reads an empty object if it is missing.
    [[nodiscard]] ObjectReader object(const std::string &key);

    /// Returns a reader of a nested object that may be missing; each of its fields needs a fallback.
    [[nodiscard]] ObjectReader optionalObject(const std::string &key);

    /// Returns a required array; an empty one if it is missing or faulty.
    [[nodiscard]] const nlohmann::json &array(const std::string &key, Length length);

    /// Returns an array; an empty one if it is missing or faulty.
    [[nodiscard]] const nlohmann::json &optionalArray(const std::string &key, Length length);

    /// Reports a fault at \a key.
    void fault(const std::string &key, std::string description);

    /// Reports every key that was never requested, and suggests the nearest known key.
    void rejectUnknown();

    /// Returns the keys that were never requested.
    [[nodiscard]] std::vector<std::string> unknownKeys() const;

    /// Returns the unchecked value of \a key, or null if it is missing; marks the key as known.
    [[nodiscard]] const nlohmann::json *find(const std::string &key);

private:
    void missing(const std::string &key);
    void unexpected(const std::string &key, const std::string &expected, const nlohmann::json &found);
    [[nodiscard]] const nlohmann::json &checkedArray(const std::string &key, Length length, const nlohmann::json *value);

    // Never null; an empty object if the value is not an object.
    const nlohmann::json *value_;
    std::string path_;
    std::vector<Fault> *faults_;
    std::set<std::string> known_;
};

} // namespace cardamomstep::json
