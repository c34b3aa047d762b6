// Parses and checks the store's JSON replies.
#include "store/impl/storejson.h"

#include "json/rawjson.h"
#include "json/untrusted.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <utility>

namespace cardamomstep::impl {

namespace {

using Json = nlohmann::json;

Error malformed(const char *what)
{
    return {ErrorKind::StoreUnavailable, std::string("the store's reply is malformed: ") + what};
}

std::optional<Revision> revisionIn(const Json &object, const char *field)
{
    if (!object.is_object()) {
        return std::nullopt;
    }
    const auto found = object.find(field);
    if (found == object.end() || !found->is_number_unsigned()) {
        return std::nullopt;
    }
    return Revision{found->get<std::uint64_t>()};
}

/// Decodes one object of a reply; nothing if its name or version cannot be read. A value that cannot be read counts as null.
std::optional<StoredObject> objectIn(std::string_view text)
{
    const auto fields = json::rawFieldsOf(text);
    if (!fields) {
        return std::nullopt;
    }
    const auto kind = json::parseUntrustedOrNull(json::rawValueOf(*fields, "kind"));
    const auto name = json::parseUntrustedOrNull(json::rawValueOf(*fields, "name"));
    const auto version = json::parseUntrustedOrNull(json::rawValueOf(*fields, "version"));
    const bool named = kind.is_string() && !kind.get_ref<const std::string &>().empty() && name.is_string()
        && !name.get_ref<const std::string &>().empty();
    if (!named || !version.is_number_unsigned()) {
        return std::nullopt;
    }
    StoredObject object{
        ObjectKind{kind.get<std::string>()}, ObjectName{name.get<std::string>()}, Revision{version.get<std::uint64_t>()}, {}, false};
    object.deleted = json::parseUntrustedOrNull(json::rawValueOf(*fields, "deleted")) == Json(true);
    const auto value = json::rawValueOf(*fields, "value");
    if (!object.deleted) {
        if (value.empty()) {
            return std::nullopt;
        }
        object.value = json::parseUntrustedOrNull(value).dump();
    }
    return object;
}

/// The objects of a reply, and its revision.
struct ReplyObjects {
    Revision revision;
    std::vector<StoredObject> objects;
    std::uint32_t unreadable = 0;
};

/// Decodes the objects in the array \a key one by one, as any process may have written them; nothing if the reply has no such array.
std::optional<ReplyObjects> objectsIn(std::string_view body, std::string_view key)
{
    const auto fields = json::rawFieldsOf(body);
    const auto elements = fields ? json::rawElementsOf(json::rawValueOf(*fields, key)) : std::nullopt;
    const auto revision = fields ? json::parseUntrustedOrNull(json::rawValueOf(*fields, "revision")) : Json();
    if (!elements || !revision.is_number_unsigned()) {
        return std::nullopt;
    }
    ReplyObjects reply{Revision{revision.get<std::uint64_t>()}, {}, 0};
    reply.objects.reserve(elements->size());
    for (const auto element : *elements) {
        if (auto object = objectIn(element)) {
            reply.objects.push_back(std::move(*object));
        } else {
            ++reply.unreadable;
        }
    }
    return reply;
}

} // namespace

std::optional<Revision> parseVersion(std::string_view body)
{
    return revisionIn(json::parseUntrusted(body), "version");
}

Result<StoredObject> parseObject(std::string_view body)
{
    auto object = objectIn(body);
    if (!object) {
        return malformed("an object was expected");
    }
    return std::move(*object);
}

Result<StoreListing> parseListing(std::string_view body)
{
    auto reply = objectsIn(body, "objects");
    if (!reply) {
        return malformed("a listing was expected");
    }
    return StoreListing{reply->revision, std::move(reply->objects), reply->unreadable};
}

Result<StoreChanges> parseChanges(std::string_view body, Revision after)
{
    auto reply = objectsIn(body, "events");
    if (!reply) {
        return malformed("changes were expected");
    }
    return StoreChanges{after, reply->revision, std::move(reply->objects), false, reply->unreadable};
}

Result<std::vector<ListedInstance>> parseInstances(std::string_view body)
{
    const auto fields = json::rawFieldsOf(body);
    const auto elements = fields ? json::rawElementsOf(json::rawValueOf(*fields, "instances")) : std::nullopt;
    if (!elements) {
        return malformed("an instance list was expected");
    }
    std::vector<ListedInstance> instances;
    for (const auto element : *elements) {
        const auto entry = json::parseUntrustedOrNull(element);
        const auto name = entry.is_object() ? json::textIn(entry, "name") : std::nullopt;
        if (!name || name->empty()) {
            continue;
        }
        ListedInstance instance;
        instance.name = *name;
        instance.domain = FailureDomain{json::textIn(entry, "domain").value_or("")};
        instance.address = Address{json::textIn(entry, "address").value_or("")};
        instance.state = json::textIn(entry, "state").value_or("live") == "leaving" ? ListedState::Leaving : ListedState::Live;
        instance.role = json::textIn(entry, "role").value_or("proxy");
        instances.push_back(std::move(instance));
    }
    return instances;
}

} // namespace cardamomstep::impl
