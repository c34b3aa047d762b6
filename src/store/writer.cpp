// Reads and writes the writer stamp inside JSON values.
#include "store/writer.h"

#include "json/untrusted.h"

#include <nlohmann/json.hpp>

namespace cardamomstep {

namespace {

using Json = nlohmann::json;

constexpr const char *writerField = "writer";
constexpr const char *nonceField = "nonce";
constexpr const char *earlierField = "earlier";
constexpr const char *versionField = "version";

std::string textIn(const Json &object, const char *field)
{
    const auto found = object.find(field);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

Revision versionIn(const Json &object)
{
    const auto found = object.find(versionField);
    return found != object.end() && found->is_number_unsigned() ? Revision{found->get<std::uint64_t>()} : Revision{};
}

WriterStamp stampOf(const Json &value)
{
    WriterStamp stamp;
    if (!value.is_object() || !value.contains(writerField) || !value[writerField].is_object()) {
        return stamp;
    }
    const auto &writer = value[writerField];
    stamp.nonce = WriterNonce{textIn(writer, nonceField)};
    const auto earlier = writer.find(earlierField);
    if (earlier == writer.end() || !earlier->is_array()) {
        return stamp;
    }
    for (const auto &entry : *earlier) {
        if (entry.is_object() && stamp.earlier.size() < maxEarlierWriters) {
            stamp.earlier.push_back({WriterNonce{textIn(entry, nonceField)}, versionIn(entry)});
        }
    }
    return stamp;
}

} // namespace

WriterStamp readWriterStamp(std::string_view value)
{
    return stampOf(json::parseUntrusted(value));
}

Result<std::string> withWriterStamp(std::string_view value, const WriterNonce &nonce, const StoredObject *replaced)
{
    auto json = json::parseUntrusted(value);
    if (!json.is_object()) {
        return Error{ErrorKind::InvalidRecord, "the value is not a JSON object"};
    }
    auto earlier = Json::array();
    if (replaced != nullptr) {
        const auto stamp = readWriterStamp(replaced->value);
        earlier.push_back({{nonceField, stamp.nonce.text()}, {versionField, replaced->version.value}});
        for (const auto &entry : stamp.earlier) {
            if (earlier.size() < maxEarlierWriters) {
                earlier.push_back({{nonceField, entry.nonce.text()}, {versionField, entry.version.value}});
            }
        }
    }
    json[writerField] = {{nonceField, nonce.text()}, {earlierField, std::move(earlier)}};
    return json.dump();
}

} // namespace cardamomstep
