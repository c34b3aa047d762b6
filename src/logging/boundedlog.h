// The log of a single-threaded process: bounded in memory and rate, written in batches without blocking.
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
    /// Once the buffer holds this many bytes, lines of every level are dropped and counted.
    std::size_t bufferBytes = std::size_t{192} << 10U;
    /// The most lines below LogLevel::Warning in one second; further ones are dropped and counted.
    std::uint32_t linesPerSecond = 400;
};

/// Buffers log lines until flush(). Reports dropped lines with the event `log_dropped`.
class BoundedLog
{
public:
    /// Writes to \a descriptor, which it switches to non-blocking mode and never closes.
    BoundedLog(int descriptor, LogLevel level, std::string instance, const BoundedLogLimits &limits = {});

    /// Sets the lowest level that is written; lines below it are discarded without being counted.
    void setLevel(LogLevel level) noexcept
    {
        level_ = level;
    }

    /// Buffers one line, or drops it; \a now is used for the rate only, the line has the wall clock time.
    void write(LogLevel level, std::string_view event, const std::vector<LogField> &fields, TimePoint now);

    /// Writes as much of the buffer as the descriptor accepts without blocking; keeps the rest.
    void flush();

    /// The number of lines dropped so far.
    [[nodiscard]] std::uint64_t dropped() const noexcept
    {
        return dropped_;
    }

private:
    [[nodiscard]] bool isFull() const noexcept
    {
        return buffer_.size() >= limits_.bufferBytes;
    }

    void append(LogLevel level, std::string_view event, const std::vector<LogField> &fields);

    int descriptor_;
    LogLevel level_;
    std::string instance_;
    BoundedLogLimits limits_;
    std::string buffer_;
    TimePoint windowStart_;
    std::uint32_t linesInWindow_ = 0;
    std::uint64_t dropped_ = 0;
    std::uint64_t lastReportedDropped_ = 0;
};

} // namespace cardamomstep
