// Converts kinds and schema versions to and from their names.
#include "records/kind.h"

#include <algorithm>

namespace cardamomstep {

namespace {

constexpr std::array<std::string_view, allRecordKinds.size()> kindNames{
    "DatabaseGroup", "RoutingIntent", "StopPlan", "Customer", "GroupStatus", "InstanceStatus", "PlanStatus", "AuditEntry"};

bool isLetterOrDigit(char character) noexcept
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') || (character >= '0' && character <= '9');
}

bool isNameCharacter(char character) noexcept
{
    return isLetterOrDigit(character) || character == '-' || character == '.' || character == '_';
}

} // namespace

std::string_view toText(RecordKind kind) noexcept
{
    return kindNames[static_cast<std::size_t>(kind)];
}

std::string_view toText(SchemaVersion schema) noexcept
{
    return schema == SchemaVersion::V1 ? "v1" : "v2";
}

std::string toText(const RecordKey &key)
{
    return std::string(toText(key.kind)) + "/" + key.name.text();
}

std::string toText(const RecordForm &form)
{
    return std::string(toText(form.kind)) + "/" + std::string(toText(form.schema));
}

std::optional<RecordKind> recordKindFromText(std::string_view name) noexcept
{
    for (const auto kind : allRecordKinds) {
        if (toText(kind) == name) {
            return kind;
        }
    }
    return std::nullopt;
}

std::optional<SchemaVersion> schemaVersionFromText(std::string_view name) noexcept
{
    for (const auto schema : {SchemaVersion::V1, SchemaVersion::V2}) {
        if (toText(schema) == name) {
            return schema;
        }
    }
    return std::nullopt;
}

std::optional<RecordForm> recordFormFromText(std::string_view text) noexcept
{
    const auto slash = text.find('/');
    if (slash == std::string_view::npos) {
        return std::nullopt;
    }
    const auto kind = recordKindFromText(text.substr(0, slash));
    const auto schema = schemaVersionFromText(text.substr(slash + 1));
    if (!kind || !schema) {
        return std::nullopt;
    }
    return RecordForm{*kind, *schema};
}

bool isWrittenByOperators(RecordKind kind) noexcept
{
    return kind <= RecordKind::Customer;
}

bool isValidName(std::string_view name) noexcept
{
    if (name.empty() || name.size() > maxNameLength || !isLetterOrDigit(name.front())) {
        return false;
    }
    return std::all_of(name.begin(), name.end(), isNameCharacter);
}

std::ostream &operator<<(std::ostream &out, RecordKind kind)
{
    return out << toText(kind);
}

std::ostream &operator<<(std::ostream &out, SchemaVersion schema)
{
    return out << toText(schema);
}

std::ostream &operator<<(std::ostream &out, const RecordKey &key)
{
    return out << toText(key);
}

} // namespace cardamomstep
