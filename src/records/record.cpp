// Reads and writes the envelope of records and, with the descriptions in describe.h, their content.
#include "records/record.h"

#include "records/impl/describe.h"
#include "records/impl/envelope.h"
#include "records/impl/fieldwriter.h"
#include "json/document.h"

#include <optional>
#include <set>
#include <utility>

namespace cardamomstep {

namespace {

/// Bytes and nesting depth; an array of records is one level deeper.
constexpr json::TextLimits oneRecordLimits{std::size_t{1} << 20U, 32};
constexpr json::TextLimits manyRecordsLimits{std::size_t{16} << 20U, 33};
/// The envelope's field for the writer stamp; the store client adds it at each write.
constexpr const char *writerField = "writer";
constexpr int indentation = 2;

/// Faults of records; those of an unknown schema version are kept apart, since they have another error kind.
struct RecordFaults {
    std::vector<json::Fault> invalid;
    std::vector<json::Fault> unsupported;
};

template<std::size_t Index = 0>
RecordSpec emptySpec(std::size_t kind)
{
    if constexpr (Index < std::variant_size_v<RecordSpec>) {
        return kind == Index ? RecordSpec(std::in_place_index<Index>) : emptySpec<Index + 1>(kind);
    } else {
        return {};
    }
}

template<typename Codec>
void describeChange(Codec &codec, ChangeStamp &change)
{
    codec.optionalText("who", change.who, impl::whoLength);
    codec.wallTime("atMs", change.at);
}

void readSpec(impl::FieldReader &codec, Record &record)
{
    const auto schema = record.schema;
    std::visit(
        [&codec, schema](auto &spec) { codec.section("spec", [schema, &spec](auto &fields) { impl::describe(fields, schema, spec); }); },
        record.spec);
}

/// Reads the schema version of the record; none when it is missing or unknown.
std::optional<SchemaVersion> readSchema(impl::FieldReader &codec, const std::string &path, RecordFaults &faults)
{
    std::string text;
    codec.text("schema", text, {1, maxNameLength});
    const auto schema = schemaVersionFromText(text);
    if (!schema && !text.empty()) {
        faults.unsupported.push_back({json::childPath(path, "schema"), "expected \"v1\" or \"v2\", got \"" + text + "\""});
    }
    return schema;
}

Record readOne(const nlohmann::json &value, const std::string &path, RecordFaults &faults)
{
    Record record;
    auto unknown = nlohmann::json::object();
    impl::FieldReader codec(value, path, faults.invalid, unknown);
    auto kind = RecordKind::DatabaseGroup;
    const auto faultsBefore = faults.invalid.size();
    codec.enumValue("kind", kind, impl::kindNames);
    const bool kindKnown = faults.invalid.size() == faultsBefore;
    codec.name("name", record.name);
    const auto schema = readSchema(codec, path, faults);
    if (codec.has("change", false)) {
        codec.section("change", [&record](auto &fields) { describeChange(fields, record.change); });
    }
    if (!codec.has("spec", false)) {
        codec.fault("spec", "missing");
    } else if (kindKnown && schema) {
        record.schema = *schema;
        record.spec = emptySpec(static_cast<std::size_t>(kind));
        readSpec(codec, record);
    }
    codec.ignore(writerField);
    codec.finish();
    record.unknownFields = unknown.dump();
    return record;
}

std::vector<Error> toErrors(const json::Document &document, const RecordFaults &faults)
{
    auto errors = json::faultErrors(document, ErrorKind::InvalidRecord, faults.invalid);
    for (const auto &fault : faults.unsupported) {
        errors.push_back(json::faultError(document, ErrorKind::UnsupportedVersion, fault));
    }
    return errors;
}

void collectPaths(const nlohmann::json &value, const std::string &path, std::vector<std::string> &paths)
{
    const auto identity = impl::identityOf(value);
    if (!identity.empty()) {
        for (auto element : value) {
            const auto elementPath = path + "[" + element[identity].get<std::string>() + "]";
            element.erase(identity);
            collectPaths(element, elementPath, paths);
        }
        return;
    }
    if (!value.is_object()) {
        paths.push_back(path);
        return;
    }
    for (const auto &item : value.items()) {
        collectPaths(item.value(), json::childPath(path, item.key()), paths);
    }
}

std::string dump(const nlohmann::json &value, int indent)
{
    return value.dump(indent, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

namespace impl {

std::string identityOf(const nlohmann::json &array)
{
    if (!array.is_array() || array.empty()) {
        return {};
    }
    for (const char *key : {"name", "prefix", "field"}) {
        std::set<std::string> seen;
        for (const auto &element : array) {
            if (element.is_object() && element.contains(key) && element[key].is_string()) {
                seen.insert(element[key].get<std::string>());
            }
        }
        if (seen.size() == array.size()) {
            return key;
        }
    }
    return {};
}

nlohmann::json toJson(const Record &record, SchemaVersion schema)
{
    auto value = nlohmann::json::parse(record.unknownFields, nullptr, false);
    FieldWriter codec(value);
    codec.text("kind", std::string(toText(record.kind())), {});
    codec.name("name", record.name);
    codec.text("schema", std::string(toText(schema)), {});
    if (record.change != ChangeStamp{}) {
        codec.section("change", [change = record.change](auto &fields) mutable { describeChange(fields, change); });
    }
    auto spec = record.spec;
    std::visit(
        [&codec, schema](auto &content) { codec.section("spec", [schema, &content](auto &fields) { describe(fields, schema, content); }); },
        spec);
    return value;
}

} // namespace impl

Checked<Record> readRecord(const std::string &fileName, std::string_view text)
{
    const auto document = json::parseDocument(fileName, text, ErrorKind::InvalidRecord, oneRecordLimits);
    if (!document) {
        return std::vector<Error>{document.error()};
    }
    RecordFaults faults;
    auto record = readOne(document->value, "", faults);
    auto errors = toErrors(*document, faults);
    if (!errors.empty()) {
        return errors;
    }
    return record;
}

Checked<std::vector<Record>> readRecords(const std::string &fileName, std::string_view text)
{
    const auto document = json::parseDocument(fileName, text, ErrorKind::InvalidRecord, manyRecordsLimits);
    if (!document) {
        return std::vector<Error>{document.error()};
    }
    std::vector<Record> records;
    RecordFaults faults;
    if (!document->value.is_array()) {
        records.push_back(readOne(document->value, "", faults));
    } else {
        std::size_t index = 0;
        for (const auto &element : document->value) {
            records.push_back(readOne(element, json::elementPath("", index++), faults));
        }
    }
    auto errors = toErrors(*document, faults);
    if (!errors.empty()) {
        return errors;
    }
    return records;
}

std::string writeRecord(const Record &record)
{
    return dump(impl::toJson(record, record.schema), -1);
}

std::string writeRecordIndented(const Record &record)
{
    return dump(impl::toJson(record, record.schema), indentation);
}

std::vector<std::string> unknownFieldPaths(const Record &record)
{
    std::vector<std::string> paths;
    collectPaths(nlohmann::json::parse(record.unknownFields, nullptr, false), "", paths);
    return paths;
}

} // namespace cardamomstep
