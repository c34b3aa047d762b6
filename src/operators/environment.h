// What the operators' interface requires of its proxy: the catalog in force and the state of the fleet.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "operators/fwd.h"
#include "records/catalog.h"
#include "records/status.h"

#include <concepts>
#include <cstdint>
#include <memory>
#include <vector>

namespace cardamomstep::operators {

/// What is known about one live proxy.
struct ProxyInfo {
    InstanceName instance;
    FailureDomain failureDomain;
    InstanceState state = InstanceState::Ready;
    /// Revision up to which its configuration is complete, as last reported.
    std::uint64_t revision = 0;
    /// Forms of records that it can read.
    std::vector<RecordForm> forms;
    /// Time since the last contact.
    Milliseconds timeSinceContact{0};
};

/// The proxy and its fleet, as the operators' interface uses them; must be thread-safe.
///
/// - `self()`: the name of this instance.
/// - `catalog()`: the configuration in force at this proxy.
/// - `awaitRevision(revision, wait)`: blocks until the catalog is complete up to `revision`, for at most `wait`.
/// - `proxies()`: all live proxies, including this one.
/// - `now()`: the wall-clock time.
template<typename T>
concept OperatorEnvironment = requires(T environment, std::uint64_t revision, Milliseconds wait)
{
    {
        environment.self()
        } -> std::same_as<InstanceName>;
    {
        environment.catalog()
        } -> std::same_as<std::shared_ptr<const Catalog>>;
    environment.awaitRevision(revision, wait);
    {
        environment.proxies()
        } -> std::same_as<std::vector<ProxyInfo>>;
    {
        environment.now()
        } -> std::same_as<WallTime>;
};

} // namespace cardamomstep::operators
