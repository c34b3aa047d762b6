// What the operators' interface needs to know of the proxy that it runs in and of the other proxies.
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

/// What is known of one live proxy.
struct ProxyInfo {
    InstanceName instance;
    FailureDomain failureDomain;
    InstanceState state = InstanceState::Ready;
    /// Revision up to which its configuration is complete, as last heard.
    std::uint64_t revision = 0;
    /// Forms of records that it reads.
    std::vector<RecordForm> forms;
    /// Time since it was last heard.
    Milliseconds timeSinceContact{0};
};

/// The proxy and its fleet, as the operators' interface sees them; called by many threads at once.
///
/// - `self()`: this instance.
/// - `catalog()`: the configuration in force here.
/// - `awaitRevision(revision, wait)`: blocks until the catalog is complete up to `revision`, at most `wait`.
/// - `proxies()`: all live proxies, this one included.
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
