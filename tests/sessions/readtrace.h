// A generated trace of one database group in virtual time: writes, their replication and acknowledgement, and reads.
#pragma once

#include "base/logposition.h"
#include "base/random.h"
#include "base/time.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

namespace cardamomstep::trace {

constexpr std::size_t memberCount = 3;
constexpr std::int64_t never = std::numeric_limits<std::int64_t>::max();

/// The replication lag of one replica.
enum class Lag {
    Short, ///< A few milliseconds.
    Waves, ///< Rises to seconds and falls again, periodically.
    Stalled, ///< Replicates nothing written after a quarter of the trace.
    Dead, ///< Replicates nothing and does not reply after a quarter of the trace.
};

struct Setup {
    const char *name = "";
    std::array<Lag, memberCount - 1> lags{Lag::Short, Lag::Short};
    double writesPerSecond = 100;
    double readsPerSecond = 400;
    /// One-way delays from the proxy in microseconds: the primary, then the replicas.
    std::array<std::int64_t, memberCount> delays{3500, 250, 3500};
    /// Duration of the trace in microseconds.
    std::int64_t length = 30'000'000;
    std::uint64_t seed = 1;
};

struct Read {
    /// Microseconds since the trace's start.
    std::int64_t arrived = 0;
    /// The accepted age of the data; a current read has none.
    std::optional<Milliseconds> age;
    /// Log position in the session token; 0 when there is none.
    std::uint64_t token = 0;
};

/// All times are in microseconds; the entry at log position P has index P - 1.
struct Trace {
    Setup setup;
    /// When each member had each entry; `never` for those that it does not get.
    std::array<std::vector<std::int64_t>, memberCount> reached;
    /// When each entry was acknowledged.
    std::vector<std::int64_t> acknowledged;
    std::vector<Read> reads;

    [[nodiscard]] std::uint64_t position(std::size_t member, std::int64_t time) const
    {
        const auto &times = reached[member];
        return static_cast<std::uint64_t>(std::upper_bound(times.begin(), times.end(), time) - times.begin());
    }

    [[nodiscard]] std::uint64_t acknowledgedBefore(std::int64_t time) const
    {
        return static_cast<std::uint64_t>(std::lower_bound(acknowledged.begin(), acknowledged.end(), time) - acknowledged.begin());
    }

    [[nodiscard]] bool isResponding(std::size_t member, std::int64_t time) const
    {
        return member == 0 || setup.lags[member - 1] != Lag::Dead || time < setup.length / 4;
    }

    /// Returns the lowest log position that an answer to the read must show.
    [[nodiscard]] std::uint64_t requiredPosition(const Read &read) const
    {
        const auto age = read.age ? Microseconds{*read.age}.count() : 0;
        return std::max(acknowledgedBefore(read.arrived - age), read.token);
    }
};

inline std::int64_t exponential(Random &random, double mean)
{
    const auto uniform = (static_cast<double>(random() >> 11U) + 1) / 9007199254740993.0;
    return static_cast<std::int64_t>(-std::log(uniform) * mean);
}

inline std::int64_t lagAt(const Setup &setup, Lag lag, std::int64_t time, Random &random)
{
    constexpr std::int64_t wavePeriod = 8'000'000;
    const auto typical = 3'500 + exponential(random, 1'500);
    const bool later = time >= setup.length / 4;
    if (lag == Lag::Waves) {
        const auto offset = time % wavePeriod;
        return typical + std::min(offset, wavePeriod - offset) / 2;
    }
    return later && lag != Lag::Short ? never : typical;
}

inline Trace makeTrace(const Setup &setup)
{
    Trace trace;
    trace.setup = setup;
    Random random{setup.seed};
    const auto writeGap = 1'000'000 / setup.writesPerSecond;
    for (auto time = exponential(random, writeGap); time < setup.length; time += exponential(random, writeGap)) {
        trace.reached[0].push_back(time);
        for (std::size_t replica = 1; replica < memberCount; ++replica) {
            const auto lag = lagAt(setup, setup.lags[replica - 1], time, random);
            auto &times = trace.reached[replica];
            const auto arrival = lag == never ? never : time + lag;
            times.push_back(times.empty() ? arrival : std::max(times.back(), arrival));
        }
        const auto first = std::min(trace.reached[1].back(), trace.reached[2].back());
        trace.acknowledged.push_back(first == never ? never : first + setup.delays[2]);
    }
    const auto readGap = 1'000'000 / setup.readsPerSecond;
    constexpr std::array<std::int64_t, 5> ages{0, 0, 100, 1'000, 10'000};
    for (auto time = exponential(random, readGap); time < setup.length; time += exponential(random, readGap)) {
        Read read;
        read.arrived = time;
        const auto age = ages[random.below(ages.size())];
        if (age > 0) {
            read.age = Milliseconds{age};
        }
        if (random.below(3) == 0) {
            read.token = trace.acknowledgedBefore(time - exponential(random, 200'000));
        }
        trace.reads.push_back(read);
    }
    return trace;
}

} // namespace cardamomstep::trace
