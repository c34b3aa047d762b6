// Keeps counters, gauges and time distributions and formats them for the metrics page.
#include "metrics/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <sstream>

namespace cardamomstep {

namespace {

namespace acc = boost::accumulators;

using Summary = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::mean, acc::tag::max>>;
using Quantile = acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;

constexpr double median = 0.5;
constexpr double percentile99 = 0.99;
constexpr double microsecondsInMillisecond = 1000.0;

/// Returns \a name with \a suffix inserted before its labels.
std::string withSuffix(const std::string &name, const std::string &suffix)
{
    const auto brace = name.find('{');
    return brace == std::string::npos ? name + suffix : name.substr(0, brace) + suffix + name.substr(brace);
}

} // namespace

struct Metrics::Distribution {
    Summary summary;
    Quantile p50{acc::quantile_probability = median};
    Quantile p99{acc::quantile_probability = percentile99};
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::count(const std::string &name, std::uint64_t amount)
{
    const std::lock_guard lock(mutex_);
    counters_[name] += amount;
}

void Metrics::set(const std::string &name, double value)
{
    const std::lock_guard lock(mutex_);
    gauges_[name] = value;
}

void Metrics::observe(const std::string &name, Microseconds value)
{
    const auto milliseconds = static_cast<double>(value.count()) / microsecondsInMillisecond;
    const std::lock_guard lock(mutex_);
    auto &distribution = distributions_[name];
    if (!distribution) {
        distribution = std::make_unique<Distribution>();
    }
    distribution->summary(milliseconds);
    distribution->p50(milliseconds);
    distribution->p99(milliseconds);
}

std::uint64_t Metrics::counter(const std::string &name) const
{
    const std::lock_guard lock(mutex_);
    const auto found = counters_.find(name);
    return found == counters_.end() ? 0 : found->second;
}

std::string Metrics::page() const
{
    const std::lock_guard lock(mutex_);
    std::ostringstream out;
    for (const auto &[name, value] : counters_) {
        out << name << " " << value << "\n";
    }
    for (const auto &[name, value] : gauges_) {
        out << name << " " << value << "\n";
    }
    for (const auto &[name, distribution] : distributions_) {
        out << withSuffix(name, "_count") << " " << acc::count(distribution->summary) << "\n";
        out << withSuffix(name, "_mean") << " " << acc::mean(distribution->summary) << "\n";
        out << withSuffix(name, "_p50") << " " << acc::p_square_quantile(distribution->p50) << "\n";
        out << withSuffix(name, "_p99") << " " << acc::p_square_quantile(distribution->p99) << "\n";
        out << withSuffix(name, "_max") << " " << acc::max(distribution->summary) << "\n";
    }
    return out.str();
}

} // namespace cardamomstep
