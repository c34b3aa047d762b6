// One proxy process: composes the modules, starts and stops them.
#pragma once

#include "app/fwd.h"
#include "base/result.h"
#include "settings/settings.h"

#include <memory>

namespace cardamomstep {

/// A running proxy.
class Proxy
{
public:
    /// Starts all servers and services; on an error, which says what could not be started, nothing is left running.
    [[nodiscard]] static Result<std::unique_ptr<Proxy>> start(const Settings &settings);

    Proxy(const Proxy &) = delete;
    Proxy &operator=(const Proxy &) = delete;

    /// Stops without draining; call drain() first for a graceful shutdown.
    ~Proxy();

    /// Drains the proxy for a graceful shutdown; takes at most the drain time in the settings.
    ///
    /// Fails the readiness check and announces to the other proxies that this one is leaving, so that they become the owners of its
    /// groups. Serves until no statement has arrived for a while, then refuses new ones, except those of open transactions, and waits
    /// for the statements and transactions in flight. Returns true if none of them was left unfinished.
    [[nodiscard]] bool drain();

private:
    struct Impl;
    explicit Proxy(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> impl_;
};

} // namespace cardamomstep
