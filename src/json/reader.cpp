// Reads the fields of JSON objects and describes what was expected of a faulty field.
#include "json/reader.h"

#include "json/located.h"
#include "json/nearest.h"

namespace cardamomstep::json {

namespace {

const nlohmann::json &emptyObject()
{
    static const nlohmann::json value = nlohmann::json::object();
    return value;
}

const nlohmann::json &emptyArray()
{
    static const nlohmann::json value = nlohmann::json::array();
    return value;
}

/// Describes \a value in a few words; long texts are truncated.
std::string describe(const nlohmann::json &value)
{
    constexpr std::size_t maxLength = 40;
    if (value.is_object()) {
        return "an object";
    }
    if (value.is_array()) {
        return "an array of " + std::to_string(value.size());
    }
    auto text = value.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
    if (text.size() > maxLength) {
        text = text.substr(0, maxLength) + "... (" + std::to_string(text.size()) + " bytes)";
    }
    return text;
}

std::string describe(Length length, const char *unit)
{
    return std::to_string(length.low) + " to " + std::to_string(length.high) + " " + unit;
}

bool contains(Length length, std::size_t size)
{
    return size >= length.low && size <= length.high;
}

} // namespace

ObjectReader::ObjectReader(const nlohmann::json &value, std::string path, std::vector<Fault> &faults)
    : value_(&value)
    , path_(std::move(path))
    , faults_(&faults)
{
    if (!value.is_object()) {
        faults_->push_back({path_, "expected an object, got " + describe(value)});
        value_ = &emptyObject();
    }
}

bool ObjectReader::has(const std::string &key)
{
    return find(key) != nullptr;
}

std::string ObjectReader::text(const std::string &key, Length length)
{
    if (!has(key)) {
        missing(key);
    }
    return optionalText(key, length).value_or(std::string());
}

std::optional<std::string> ObjectReader::optionalText(const std::string &key, Length length)
{
    const auto *value = find(key);
    if (value == nullptr) {
        return std::nullopt;
    }
    if (!value->is_string()) {
        unexpected(key, "a string", *value);
        return std::nullopt;
    }
    const auto &text = value->get_ref<const std::string &>();
    if (!contains(length, text.size())) {
        // The text itself may be a secret, so only its length is reported.
        fault(key, "expected " + describe(length, "characters") + ", got " + std::to_string(text.size()));
        return std::nullopt;
    }
    return text;
}

double ObjectReader::decimal(const std::string &key, DecimalRange range, double fallback)
{
    const auto *value = find(key);
    if (value == nullptr) {
        return fallback;
    }
    const auto read = value->is_number() ? value->get<double>() : range.low - 1;
    if (read < range.low || read > range.high) {
        unexpected(key, "a number from " + nlohmann::json(range.low).dump() + " to " + nlohmann::json(range.high).dump(), *value);
        return fallback;
    }
    return read;
}

bool ObjectReader::boolean(const std::string &key, bool fallback)
{
    const auto *value = find(key);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_boolean()) {
        unexpected(key, "true or false", *value);
        return fallback;
    }
    return value->get<bool>();
}

ObjectReader ObjectReader::object(const std::string &key)
{
    const auto *value = find(key);
    if (value == nullptr) {
        missing(key);
    }
    return {value == nullptr ? emptyObject() : *value, childPath(path_, key), *faults_};
}

ObjectReader ObjectReader::optionalObject(const std::string &key)
{
    const auto *value = find(key);
    return {value == nullptr ? emptyObject() : *value, childPath(path_, key), *faults_};
}

const nlohmann::json &ObjectReader::array(const std::string &key, Length length)
{
    const auto *value = find(key);
    if (value == nullptr) {
        missing(key);
        return emptyArray();
    }
    return checkedArray(key, length, value);
}

const nlohmann::json &ObjectReader::optionalArray(const std::string &key, Length length)
{
    const auto *value = find(key);
    return value == nullptr ? emptyArray() : checkedArray(key, length, value);
}

const nlohmann::json &ObjectReader::checkedArray(const std::string &key, Length length, const nlohmann::json *value)
{
    if (!value->is_array() || !contains(length, value->size())) {
        unexpected(key, "an array of " + describe(length, "elements"), *value);
        return emptyArray();
    }
    return *value;
}

void ObjectReader::fault(const std::string &key, std::string description)
{
    faults_->push_back({childPath(path_, key), std::move(description)});
}

void ObjectReader::rejectUnknown()
{
    const std::vector<std::string> known(known_.begin(), known_.end());
    for (const auto &key : unknownKeys()) {
        const auto nearest = nearestWord(key, known);
        fault(key, "unknown key" + (nearest ? "; did you mean \"" + *nearest + "\"?" : std::string()));
    }
}

std::vector<std::string> ObjectReader::unknownKeys() const
{
    std::vector<std::string> unknown;
    for (const auto &item : value_->items()) {
        if (known_.count(item.key()) == 0) {
            unknown.push_back(item.key());
        }
    }
    return unknown;
}

const nlohmann::json *ObjectReader::find(const std::string &key)
{
    known_.insert(key);
    const auto found = value_->find(key);
    return found == value_->end() ? nullptr : &*found;
}

void ObjectReader::missing(const std::string &key)
{
    fault(key, "missing");
}

void ObjectReader::unexpected(const std::string &key, const std::string &expected, const nlohmann::json &found)
{
    fault(key, "expected " + expected + ", got " + describe(found));
}

} // namespace cardamomstep::json
