// Log lines of a process with one thread: written in batches, bounded, and never waited for.
#pragma once

#include "base/time.h"
#include "logging/log.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomstep {

/// Bounds of a BoundedLog.
struct BoundedLogLimits {
    /// Bytes that wait to be written; lines beyond are dropped and counted.
    std::size_t bufferBytes = std::size_t{192} << 10U;
    /// Lines below LogLevel::Warning in one second; lines beyond are dropped and counted.
    std::uint32_t linesPerSecond = 400;
};

/// Collects lines and writes them when told to.
class BoundedLog
{
public:
    BoundedLog(int descriptor, LogLevel level, std::string instance, const BoundedLogLimits &limits = {});

    void setLevel(LogLevel level) noexcept
    {
        level_ = level;
    }

    /// Takes one line; \a now is the time of leases and ages, for the rate.
    void write(LogLevel level, std::string_view event, const std::vector<LogField> &fields, TimePoint now);

    /// Writes what the descriptor takes without waiting.
    void flush();

    /// Lines that were dropped so far.
    [[nodiscard]] std::uint64_t dropped() const noexcept
    {
        return dropped_;
    }

private:
    void append(LogLevel level, std::string_view event, const std::vector<LogField> &fields);

    int descriptor_;
    LogLevel level_;
    std::string instance_;
    BoundedLogLimits limits_;
    std::string buffer_;
    TimePoint second_;
    std::uint32_t linesInSecond_ = 0;
    std::uint64_t dropped_ = 0;
    std::uint64_t lastReportedDropped_ = 0;
};

} // namespace cardamomstep
