// The callers' HTTP interface: statements, transactions, outcomes, health and metrics pages.
#pragma once

#include "base/result.h"
#include "entry/callercodec.h"
#include "http/message.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>

namespace cardamomstep::entry {

/// Functions that the process provides to CallerApi.
struct CallerServices {
    /// Runs a statement; returns its answer by the deadline.
    std::function<Answer(const Statement &, TimePoint deadline)> run;
    /// Checks a caller's Authorization header; the error is ErrorKind::Unauthorized.
    std::function<Result<Success>(const std::string &authorization)> authorize;
    /// True when this proxy is ready for callers.
    std::function<bool()> ready;
    /// Returns the text of the metrics page.
    std::function<std::string()> metrics;
    /// Called after each statement, for metrics and the log.
    std::function<void(const Statement &, const Answer &, Microseconds took)> finished;
    /// Generates a request id for a write or commit that has none.
    std::function<RequestId()> drawRequestId;
};

/// Answers callers' requests; thread-safe.
class CallerApi
{
public:
    CallerApi(CallerServices services, const CallerLimits &limits, std::uint32_t maxInFlight);

    /// Answers one request; blocks while its statement runs.
    [[nodiscard]] http::Response handle(const http::Request &request);

    /// Reports this proxy as not ready from now on and closes each caller's connection with its next answer, so that callers connect to
    /// other proxies.
    ///
    /// Statements that still arrive are served.
    void beginDraining() noexcept
    {
        draining_ = true;
    }

    /// Refuses new statements from now on, except those of open transactions.
    void beginRefusing() noexcept
    {
        refusing_ = true;
    }

    /// The time at which the last statement arrived; the time of construction when there was none.
    [[nodiscard]] TimePoint lastArrival() const noexcept
    {
        return lastArrival_;
    }

    /// The number of statements in flight.
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
