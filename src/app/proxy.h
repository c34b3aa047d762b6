// One proxy process: puts the slices together, starts and stops them.
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
    /// Starts everything; the error says what could not be started, and nothing runs then.
    [[nodiscard]] static Result<std::unique_ptr<Proxy>> start(const Settings &settings);

    Proxy(const Proxy &) = delete;
    Proxy &operator=(const Proxy &) = delete;

    /// Stops at once; call drain() first for a graceful shutdown.
    ~Proxy();

    /// Graceful shutdown: fails the readiness page, takes no new callers, hands its groups on and waits for the statements and
    /// transactions in flight, at most as long as the settings say. True when nothing was cut.
    [[nodiscard]] bool drain();

private:
    struct Impl;
    explicit Proxy(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> impl_;
};

} // namespace cardamomstep
