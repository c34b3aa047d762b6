// Environment of the operators' interface: the fleet as this process knows it, and its record store.
#include "app/operatorenvironment.h"

#include <utility>

namespace cardamomstep {

namespace {

constexpr Milliseconds storeTimeout{3'000};
constexpr Milliseconds defaultRetryAfter{1'000};

std::vector<RecordForm> recordForms(const std::vector<SchemaForm> &forms)
{
    std::vector<RecordForm> result;
    for (const auto &form : forms) {
        const auto kind = recordKindFromText(form.kind.text());
        const auto schema = schemaVersionFromText("v" + std::to_string(form.version));
        if (kind && schema) {
            result.push_back({*kind, *schema});
        }
    }
    return result;
}

StoredObject acceptedObject(const RecordKey &key, std::uint64_t version, std::string value, bool deleted)
{
    return {ObjectKind{std::string(toText(key.kind))}, ObjectName{key.name.text()}, Revision{version}, std::move(value), deleted};
}

} // namespace

FleetEnvironment::FleetEnvironment(InstanceName self, ConfigurationService &configuration, MembershipService &membership)
    : self_(std::move(self))
    , configuration_(configuration)
    , membership_(membership)
{
}

InstanceName FleetEnvironment::self() const
{
    return self_;
}

std::shared_ptr<const Catalog> FleetEnvironment::catalog() const
{
    return configuration_.catalog();
}

void FleetEnvironment::awaitRevision(std::uint64_t revision, Milliseconds wait)
{
    configuration_.awaitRevision(Revision{revision}, wait);
}

std::vector<operators::ProxyInfo> FleetEnvironment::proxies() const
{
    std::vector<operators::ProxyInfo> infos;
    for (const auto &proxy : membership_.proxies()) {
        const auto &update = *proxy.update;
        if (update.state == ProxyState::Dead) {
            continue;
        }
        operators::ProxyInfo info;
        info.instance = update.instance.name;
        info.failureDomain = update.instance.domain;
        info.state = update.state == ProxyState::Leaving ? InstanceState::Draining : InstanceState::Ready;
        const bool isSelf = update.instance.name == self_;
        info.revision = isSelf ? configuration_.revision().value : proxy.configuration.value;
        info.forms = recordForms(update.forms);
        infos.push_back(std::move(info));
    }
    return infos;
}

WallTime FleetEnvironment::now() const
{
    return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
}

RecordWriter::RecordWriter(StoreClient &store, ConfigurationService &configuration, std::uint64_t seed)
    : records_(store, seed, storeTimeout)
    , configuration_(configuration)
{
}

Result<operators::StoredText> RecordWriter::get(const RecordKey &key)
{
    return records_.get(key);
}

Result<std::vector<operators::StoredText>> RecordWriter::list(RecordKind kind)
{
    return records_.list(kind);
}

std::optional<Error> RecordWriter::refusal() const
{
    if (configuration_.mayWriteToStore()) {
        return std::nullopt;
    }
    return Error{ErrorKind::NotReady, "the configuration of this proxy is not confirmed by the store and a majority of the failure domains"}
        .withRetryAfter(defaultRetryAfter);
}

Result<std::uint64_t> RecordWriter::put(const RecordKey &key, const std::string &text, const operators::StoredText *replaced)
{
    if (auto error = refusal()) {
        return std::move(*error);
    }
    auto version = records_.put(key, text, replaced);
    if (version) {
        configuration_.onWriteAccepted(acceptedObject(key, *version, text, false));
    }
    return version;
}

Result<std::uint64_t> RecordWriter::remove(const RecordKey &key, std::uint64_t version)
{
    if (auto error = refusal()) {
        return std::move(*error);
    }
    auto revision = records_.remove(key, version);
    if (revision && *revision > 0) {
        configuration_.onWriteAccepted(acceptedObject(key, *revision, "", true));
    }
    return revision;
}

} // namespace cardamomstep
