// Parses and checks the store's JSON replies.
#include "store/impl/storejson.h"

#include "json/untrusted.h"

#include <nlohmann/json.hpp>

#include <string>

namespace cardamomstep::impl {

namespace {

using Json = nlohmann::json;

Error malformed(const char *what)
{
    return {ErrorKind::StoreUnavailable, std::string("the store's reply is malformed: ") + what};
}

std::optional<std::string> textIn(const Json &object, const char *field)
{
    const auto found = object.find(field);
    if (found == object.end() || !found->is_string()) {
        return std::nullopt;
    }
    return found->get<std::string>();
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

std::optional<StoredObject> objectIn(const Json &json)
{
    const auto version = revisionIn(json, "version");
    if (!version) {
        return std::nullopt;
    }
    const auto kind = textIn(json, "kind");
    const auto name = textIn(json, "name");
    if (!kind || !name || kind->empty() || name->empty()) {
        return std::nullopt;
    }
    StoredObject object{ObjectKind{*kind}, ObjectName{*name}, *version, {}, false};
    const auto deleted = json.find("deleted");
    object.deleted = deleted != json.end() && deleted->is_boolean() && deleted->get<bool>();
    const auto value = json.find("value");
    if (!object.deleted) {
        if (value == json.end()) {
            return std::nullopt;
        }
        object.value = value->dump();
    }
    return object;
}

bool readObjects(const Json &json, const char *field, std::vector<StoredObject> &objects)
{
    const auto list = json.find(field);
    if (list == json.end() || !list->is_array()) {
        return false;
    }
    objects.reserve(list->size());
    for (const auto &entry : *list) {
        auto object = objectIn(entry);
        if (!object) {
            return false;
        }
        objects.push_back(std::move(*object));
    }
    return true;
}

} // namespace

std::optional<Revision> parseVersion(std::string_view body)
{
    return revisionIn(json::parseUntrusted(body), "version");
}

Result<StoredObject> parseObject(std::string_view body)
{
    auto object = objectIn(json::parseUntrusted(body));
    if (!object) {
        return malformed("an object was expected");
    }
    return std::move(*object);
}

Result<StoreListing> parseListing(std::string_view body)
{
    const auto json = json::parseUntrusted(body);
    const auto revision = revisionIn(json, "revision");
    StoreListing listing;
    if (!revision || !readObjects(json, "objects", listing.objects)) {
        return malformed("a listing was expected");
    }
    listing.revision = *revision;
    return listing;
}

Result<StoreChanges> parseChanges(std::string_view body, Revision after)
{
    const auto json = json::parseUntrusted(body);
    const auto revision = revisionIn(json, "revision");
    StoreChanges changes;
    if (!revision || !readObjects(json, "events", changes.changes)) {
        return malformed("changes were expected");
    }
    changes.after = after;
    changes.revision = *revision;
    return changes;
}

Result<std::vector<ListedInstance>> parseInstances(std::string_view body)
{
    const auto json = json::parseUntrusted(body);
    if (!json.is_object() || !json.contains("instances") || !json["instances"].is_array()) {
        return malformed("an instance list was expected");
    }
    std::vector<ListedInstance> instances;
    for (const auto &entry : json["instances"]) {
        const auto name = entry.is_object() ? textIn(entry, "name") : std::nullopt;
        if (!name || name->empty()) {
            return malformed("an instance has no name");
        }
        ListedInstance instance;
        instance.name = *name;
        instance.domain = FailureDomain{textIn(entry, "domain").value_or("")};
        instance.address = Address{textIn(entry, "address").value_or("")};
        instance.state = textIn(entry, "state").value_or("live") == "leaving" ? ListedState::Leaving : ListedState::Live;
        instance.role = textIn(entry, "role").value_or("proxy");
        instances.push_back(std::move(instance));
    }
    return instances;
}

} // namespace cardamomstep::impl
