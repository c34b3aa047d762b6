// Reads the described fields of a record from JSON and keeps the unknown fields.
#pragma once

#include "http/address.h"
#include "records/configuration.h"
#include "records/kind.h"
#include "json/located.h"
#include "json/reader.h"

#include "base/logposition.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cardamomstep::impl {

/// The latest time that a record can hold, the end of 9999-12-31 UTC, in milliseconds since 1970.
inline constexpr std::int64_t maxWallTimeMs = 253'402'300'799'999;

/// Reads one JSON object of a record; FieldWriter has the same functions.
///
/// Each function reads the field \a key into \a value and reports a fault when the field is invalid.
class FieldReader
{
public:
    /// True: FieldReader reads, and checks its input.
    static constexpr bool reads = true;

    /// Reads \a value at \a path; adds unknown fields to \a unknown, which must be an object.
    FieldReader(const nlohmann::json &value, std::string path, std::vector<json::Fault> &faults, nlohmann::json &unknown)
        : reader_(value, std::move(path), faults)
        , value_(&value)
        , faults_(&faults)
        , unknown_(&unknown)
    {
    }

    void text(const std::string &key, std::string &value, json::Length length)
    {
        value = reader_.text(key, length);
    }

    /// A text that is empty when it is missing; FieldWriter omits an empty one.
    void optionalText(const std::string &key, std::string &value, json::Length length)
    {
        value = reader_.optionalText(key, length).value_or(std::string());
    }

    template<typename Id>
    void name(const std::string &key, Id &value)
    {
        value = Id{reader_.text(key, {1, maxNameLength})};
        checkName(key, value.text());
    }

    template<typename Id>
    void optionalName(const std::string &key, Id &value)
    {
        if (reader_.has(key)) {
            name(key, value);
        }
    }

    void address(const std::string &key, Address &value)
    {
        value = Address{reader_.text(key, {1, maxNameLength})};
        if (!value.empty() && !http::parseAddress(value)) {
            reader_.fault(key, "expected IP:port, got \"" + value.text() + "\"");
        }
    }

    template<std::integral T>
    void number(const std::string &key, T &value, json::Range<T> range)
    {
        value = reader_.number<T>(key, range);
    }

    /// A number that keeps its value when it is missing.
    template<std::integral T>
    void optionalNumber(const std::string &key, T &value, json::Range<T> range)
    {
        value = reader_.number<T>(key, range, value);
    }

    void optionalBoolean(const std::string &key, bool &value)
    {
        value = reader_.boolean(key, value);
    }

    /// A duration that keeps its value when it is missing.
    void milliseconds(const std::string &key, Milliseconds &value, json::Range<std::int64_t> range)
    {
        value = Milliseconds{reader_.number<std::int64_t>(key, range, value.count())};
    }

    void optionalMilliseconds(const std::string &key, std::optional<Milliseconds> &value, json::Range<std::int64_t> range)
    {
        const auto count = reader_.optionalNumber<std::int64_t>(key, range);
        value = count ? std::optional<Milliseconds>(*count) : std::nullopt;
    }

    void wallTime(const std::string &key, WallTime &value)
    {
        value = WallTime{Milliseconds{reader_.number<std::int64_t>(key, {0, maxWallTimeMs})}};
    }

    void optionalWallTime(const std::string &key, std::optional<WallTime> &value)
    {
        const auto count = reader_.optionalNumber<std::int64_t>(key, {0, maxWallTimeMs});
        value = count ? std::optional<WallTime>(WallTime{Milliseconds{*count}}) : std::nullopt;
    }

    template<typename Value, std::size_t Count>
    void enumValue(const std::string &key, Value &value, const std::array<std::pair<std::string_view, Value>, Count> &enumNames)
    {
        value = reader_.oneOf<Value>(key, enumNames, std::nullopt);
    }

    /// An enumeration value that keeps its value when it is missing.
    template<typename Value, std::size_t Count>
    void optionalEnumValue(const std::string &key, Value &value, const std::array<std::pair<std::string_view, Value>, Count> &enumNames)
    {
        value = reader_.oneOf<Value>(key, enumNames, value);
    }

    void term(const std::string &key, Term &value)
    {
        const auto read = parseTerm(reader_.text(key, {1, maxNameLength}));
        if (read) {
            value = *read;
        } else {
            reader_.fault(key, read.error().description);
        }
    }

    /// An optional JSON value, as JSON text.
    void optionalJson(const std::string &key, std::optional<std::string> &value)
    {
        const auto *found = reader_.find(key);
        value = found == nullptr ? std::nullopt : std::optional<std::string>(found->dump());
    }

    /// Fields of the nested object \a key, or of this object when \a key is empty.
    template<typename Describe>
    void section(const std::string &key, Describe describe)
    {
        if (key.empty()) {
            describe(*this);
            return;
        }
        const auto *found = reader_.find(key);
        const auto empty = nlohmann::json::object();
        auto unknown = nlohmann::json::object();
        FieldReader inner(found == nullptr ? empty : *found, json::childPath(reader_.path(), key), *faults_, unknown);
        describe(inner);
        inner.finish();
        if (!unknown.empty()) {
            (*unknown_)[key] = std::move(unknown);
        }
    }

    /// True when \a key is present; FieldWriter returns \a whenWritten, that is whether the field is to be written.
    bool has(const std::string &key, bool /*whenWritten*/)
    {
        return reader_.has(key);
    }

    /// Excludes \a key from the unknown fields.
    void ignore(const std::string &key)
    {
        static_cast<void>(reader_.has(key));
    }

    /// Elements that are objects, each identified by its distinct text \a identity.
    template<typename T, typename Describe>
    void list(const std::string &key, std::vector<T> &values, json::Length length, const std::string &identity, Describe describe)
    {
        if (length.low == 0 && !reader_.has(key)) {
            return;
        }
        std::set<std::string> identities;
        auto unknowns = nlohmann::json::array();
        std::size_t index = 0;
        for (const auto &element : reader_.array(key, length)) {
            const auto path = json::elementPath(json::childPath(reader_.path(), key), index++);
            auto unknown = nlohmann::json::object();
            FieldReader inner(element, path, *faults_, unknown);
            T value;
            describe(inner, value);
            inner.finish();
            inner.checkIdentity(identity, identities);
            if (!unknown.empty() && element.contains(identity)) {
                unknown[identity] = element[identity];
                unknowns.push_back(std::move(unknown));
            }
            values.push_back(std::move(value));
        }
        if (!unknowns.empty()) {
            (*unknown_)[key] = std::move(unknowns);
        }
    }

    /// An array of distinct names.
    template<typename Id>
    void names(const std::string &key, std::vector<Id> &values, json::Length length)
    {
        std::set<std::string> seen;
        for (const auto &element : texts(key, length)) {
            checkName(key, element);
            if (!seen.insert(element).second) {
                reader_.fault(key, "expected distinct names, got \"" + element + "\" twice");
            }
            values.push_back(Id{element});
        }
    }

    /// Returns the texts of a required array.
    std::vector<std::string> texts(const std::string &key, json::Length length)
    {
        std::vector<std::string> read;
        for (const auto &element : reader_.array(key, length)) {
            if (!element.is_string()) {
                reader_.fault(key, "expected an array of texts");
                return {};
            }
            read.push_back(element.get<std::string>());
        }
        return read;
    }

    /// Reports a fault at \a key.
    void fault(const std::string &key, std::string expected)
    {
        reader_.fault(key, std::move(expected));
    }

    /// Adds the fields that were not read to the unknown fields.
    void finish()
    {
        for (const auto &key : reader_.unknownKeys()) {
            (*unknown_)[key] = value_->at(key);
        }
    }

private:
    void checkName(const std::string &key, const std::string &name)
    {
        if (!name.empty() && !isValidName(name)) {
            reader_.fault(key, "expected 1 to 63 letters, digits, '-', '.' or '_', first a letter or digit, got \"" + name + "\"");
        }
    }

    void checkIdentity(const std::string &identity, std::set<std::string> &seen)
    {
        const auto *found = reader_.find(identity);
        if (found != nullptr && found->is_string() && !seen.insert(found->get<std::string>()).second) {
            reader_.fault(identity, "expected a value that no other element has, got " + found->dump());
        }
    }

    json::ObjectReader reader_;
    const nlohmann::json *value_;
    std::vector<json::Fault> *faults_;
    nlohmann::json *unknown_;
};

} // namespace cardamomstep::impl
