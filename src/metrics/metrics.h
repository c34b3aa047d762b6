// Counters, gauges and time distributions of one process; distributions are kept by Boost.Accumulators.
#pragma once

#include "base/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace cardamomstep {

/// Named counters, gauges and distributions; thread-safe.
///
/// Names appear on the metrics page as given: lower-case words joined by underscores, labels in braces, for example
/// `statements_total{access="read"}`.
class Metrics
{
public:
    Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;
    ~Metrics();

    /// Adds \a amount to a counter.
    void count(const std::string &name, std::uint64_t amount = 1);

    /// Sets a gauge.
    void set(const std::string &name, double value);

    /// Adds one measured duration to a distribution.
    void observe(const std::string &name, Microseconds value);

    /// Returns the value of a counter; 0 when it doesn't exist.
    [[nodiscard]] std::uint64_t counter(const std::string &name) const;

    /// Returns all values as text, one line each: counters, gauges, and for distributions count, mean, p50, p99 and max in milliseconds.
    [[nodiscard]] std::string page() const;

private:
    struct Distribution;

    mutable std::mutex mutex_;
    /// These maps are guarded by mutex_.
    std::map<std::string, std::uint64_t> counters_;
    std::map<std::string, double> gauges_;
    std::map<std::string, std::unique_ptr<Distribution>> distributions_;
};

} // namespace cardamomstep
