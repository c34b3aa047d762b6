// Writes the described fields of a record over the unknown fields that were kept from reading it.
#pragma once

#include "records/configuration.h"
#include "records/kind.h"
#include "json/reader.h"

#include "base/logposition.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cardamomstep::impl {

/// One object of a record while it is written; has the same functions as FieldReader.
class FieldWriter
{
public:
    /// False: what is written was checked before.
    static constexpr bool reads = false;

    /// Writes into \a target, which holds the unknown fields; anything but an object is replaced by one.
    explicit FieldWriter(nlohmann::json &target)
        : target_(&target)
    {
        if (!target.is_object()) {
            target = nlohmann::json::object();
        }
    }

    void text(const std::string &key, const std::string &value, json::Length /*length*/)
    {
        (*target_)[key] = value;
    }

    void optionalText(const std::string &key, const std::string &value, json::Length /*length*/)
    {
        if (!value.empty()) {
            (*target_)[key] = value;
        }
    }

    template<typename Id>
    void name(const std::string &key, const Id &value)
    {
        (*target_)[key] = value.text();
    }

    template<typename Id>
    void optionalName(const std::string &key, const Id &value)
    {
        if (!value.empty()) {
            name(key, value);
        }
    }

    void address(const std::string &key, const Address &value)
    {
        (*target_)[key] = value.text();
    }

    template<std::integral T>
    void number(const std::string &key, T value, json::Range<T> /*range*/)
    {
        (*target_)[key] = value;
    }

    template<std::integral T>
    void optionalNumber(const std::string &key, T value, json::Range<T> /*range*/)
    {
        (*target_)[key] = value;
    }

    void optionalBoolean(const std::string &key, bool value)
    {
        (*target_)[key] = value;
    }

    void milliseconds(const std::string &key, Milliseconds value, json::Range<std::int64_t> /*range*/)
    {
        (*target_)[key] = value.count();
    }

    void optionalMilliseconds(const std::string &key, const std::optional<Milliseconds> &value, json::Range<std::int64_t> /*range*/)
    {
        if (value) {
            (*target_)[key] = value->count();
        }
    }

    void wallTime(const std::string &key, WallTime value)
    {
        (*target_)[key] = value.time_since_epoch().count();
    }

    void optionalWallTime(const std::string &key, const std::optional<WallTime> &value)
    {
        if (value) {
            wallTime(key, *value);
        }
    }

    template<typename Value, std::size_t Count>
    void word(const std::string &key, Value value, const std::array<std::pair<std::string_view, Value>, Count> &words)
    {
        for (const auto &[word, meaning] : words) {
            if (meaning == value) {
                (*target_)[key] = word;
            }
        }
    }

    template<typename Value, std::size_t Count>
    void optionalWord(const std::string &key, Value value, const std::array<std::pair<std::string_view, Value>, Count> &words)
    {
        word(key, value, words);
    }

    void term(const std::string &key, const Term &value)
    {
        (*target_)[key] = toText(value);
    }

    void optionalJson(const std::string &key, const std::optional<std::string> &value)
    {
        if (value) {
            (*target_)[key] = nlohmann::json::parse(*value, nullptr, false);
        }
    }

    template<typename Describe>
    void section(const std::string &key, Describe describe)
    {
        if (key.empty()) {
            describe(*this);
            return;
        }
        FieldWriter inner((*target_)[key]);
        describe(inner);
    }

    bool has(const std::string & /*key*/, bool whenWritten)
    {
        return whenWritten;
    }

    template<typename T, typename Describe>
    void list(const std::string &key, std::vector<T> &values, json::Length length, const std::string &identity, Describe describe)
    {
        auto unknowns = std::exchange((*target_)[key], nlohmann::json::array());
        if (values.empty() && length.low == 0) {
            target_->erase(key);
            return;
        }
        for (auto &value : values) {
            auto element = nlohmann::json::object();
            FieldWriter inner(element);
            describe(inner, value);
            merge(element, unknowns, identity);
            (*target_)[key].push_back(std::move(element));
        }
    }

    template<typename Id>
    void names(const std::string &key, const std::vector<Id> &values, json::Length /*length*/)
    {
        auto written = nlohmann::json::array();
        for (const auto &value : values) {
            written.push_back(value.text());
        }
        (*target_)[key] = std::move(written);
    }

    void texts(const std::string &key, const std::vector<std::string> &values)
    {
        (*target_)[key] = values;
    }

    void fault(const std::string & /*key*/, const std::string & /*expected*/) noexcept
    {
    }

private:
    /// Adds to \a element the unknown fields of the element with the same identity.
    static void merge(nlohmann::json &element, const nlohmann::json &unknowns, const std::string &identity)
    {
        if (!unknowns.is_array()) {
            return;
        }
        for (const auto &unknown : unknowns) {
            if (unknown.is_object() && unknown.contains(identity) && unknown[identity] == element[identity]) {
                auto merged = unknown;
                merged.update(element);
                element = std::move(merged);
                return;
            }
        }
    }

    nlohmann::json *target_;
};

} // namespace cardamomstep::impl
