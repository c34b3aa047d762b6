// The callers' HTTP interface: statements, transactions, outcomes, health and metrics pages.
#pragma once

#include "entry/callercodec.h"
#include "http/message.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>

namespace cardamomstep::entry {

/// What the interface needs from the process around it.
struct CallerServices {
    /// Runs a statement and answers by the deadline.
    std::function<Answer(const Statement &, TimePoint deadline)> run;
    /// True when this proxy may be sent callers.
    std::function<bool()> ready;
    /// Text of the metrics page.
    std::function<std::string()> metrics;
    /// Told of each finished statement; for metrics and the log.
    std::function<void(const Statement &, const Answer &, Microseconds took)> finished;
    /// Draws a request id for writes that came without one.
    std::function<RequestId()> drawRequestId;
};

/// Answers callers' requests; safe for use by many threads.
class CallerApi
{
public:
    CallerApi(CallerServices services, const CallerLimits &limits, std::uint32_t maxInFlight);

    /// Answers one request; blocks while its statement runs.
    [[nodiscard]] http::Response handle(const http::Request &request);

    /// From now on this proxy says that it is not ready and closes each caller's connection with its next answer, so that
    /// callers go elsewhere; statements that come nevertheless are served.
    void beginDraining() noexcept
    {
        draining_ = true;
    }

    /// From now on new statements are refused, except those of open transactions.
    void beginRefusing() noexcept
    {
        refusing_ = true;
    }

    /// When the last statement came; the construction of this when none has come.
    [[nodiscard]] TimePoint lastArrival() const noexcept
    {
        return lastArrival_;
    }

    /// Statements that run now.
    [[nodiscard]] std::uint32_t inFlight() const noexcept
    {
        return inFlight_;
    }

private:
    [[nodiscard]] http::Response runStatement(const http::Request &request);
    [[nodiscard]] Answer runAdmitted(Statement &statement, TimePoint arrived);

    CallerServices services_;
    CallerLimits limits_;
    std::uint32_t maxInFlight_;
    std::atomic<std::uint32_t> inFlight_{0};
    std::atomic<bool> draining_{false};
    std::atomic<bool> refusing_{false};
    std::atomic<TimePoint> lastArrival_{steadyNow()};
};

} // namespace cardamomstep::entry
