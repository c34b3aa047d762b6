// Environment of the operators' interface: the fleet as this process knows it, and a record store that propagates accepted writes.
#pragma once

#include "app/configurationservice.h"
#include "app/membershipservice.h"
#include "operators/environment.h"
#include "operators/platformstore.h"

#include <atomic>

namespace cardamomstep {

/// The fleet as this process knows it; models operators::OperatorEnvironment.
class FleetEnvironment
{
public:
    FleetEnvironment(InstanceName self, ConfigurationService &configuration, MembershipService &membership);

    [[nodiscard]] InstanceName self() const;
    [[nodiscard]] std::shared_ptr<const Catalog> catalog() const;
    void awaitRevision(std::uint64_t revision, Milliseconds wait);
    [[nodiscard]] std::vector<operators::ProxyInfo> proxies() const;
    [[nodiscard]] WallTime now() const;

private:
    InstanceName self_;
    ConfigurationService &configuration_;
    MembershipService &membership_;
};

/// Writes records to the store and propagates accepted writes to the fleet at once; models operators::RecordStore.
class RecordWriter
{
public:
    RecordWriter(StoreClient &store, ConfigurationService &configuration, std::uint64_t seed);

    [[nodiscard]] Result<operators::StoredText> get(const RecordKey &key);
    [[nodiscard]] Result<std::vector<operators::StoredText>> list(RecordKind kind);

    /// As PlatformStore::put(); the error is NotReady while ConfigurationService::mayWriteToStore() is false.
    [[nodiscard]] Result<std::uint64_t> put(const RecordKey &key, const std::string &text, const operators::StoredText *replaced);

    /// As PlatformStore::remove(); the error is NotReady as for put().
    [[nodiscard]] Result<std::uint64_t> remove(const RecordKey &key, std::uint64_t version);

private:
    /// Returns the error for a write while none is allowed; nothing while writes are allowed.
    [[nodiscard]] std::optional<Error> refusal() const;

    operators::PlatformStore records_;
    ConfigurationService &configuration_;
};

} // namespace cardamomstep
