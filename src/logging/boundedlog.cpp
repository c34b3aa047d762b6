// Formats log lines into a buffer and writes it without blocking.
#include "logging/boundedlog.h"

#include "logging/impl/linetext.h"

#include <fcntl.h>
#include <unistd.h>

namespace cardamomstep {

namespace {

constexpr Seconds rateWindow{1};

} // namespace

BoundedLog::BoundedLog(int descriptor, LogLevel level, std::string instance, const BoundedLogLimits &limits)
    : descriptor_(descriptor)
    , level_(level)
    , instance_(std::move(instance))
    , limits_(limits)
{
    const auto flags = fcntl(descriptor_, F_GETFL);
    if (flags >= 0) {
        fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
    }
}

void BoundedLog::write(LogLevel level, std::string_view event, const std::vector<LogField> &fields, TimePoint now)
{
    if (level < level_) {
        return;
    }
    if (now - windowStart_ >= rateWindow) {
        windowStart_ = now;
        linesInWindow_ = 0;
        if (dropped_ != lastReportedDropped_ && !isFull()) {
            append(LogLevel::Warning, "log_dropped", {{"lines", static_cast<std::int64_t>(dropped_ - lastReportedDropped_)}});
            lastReportedDropped_ = dropped_;
        }
    }
    const bool overRate = level < LogLevel::Warning && ++linesInWindow_ > limits_.linesPerSecond;
    if (overRate || isFull()) {
        ++dropped_;
        return;
    }
    append(level, event, fields);
}

void BoundedLog::append(LogLevel level, std::string_view event, const std::vector<LogField> &fields)
{
    buffer_ += "time=" + impl::timeNow() + " level=";
    buffer_ += impl::levelName(level);
    buffer_ += " instance=" + instance_ + " event=";
    buffer_ += event;
    for (const auto &field : fields) {
        buffer_ += ' ';
        buffer_ += field.key;
        buffer_ += '=';
        impl::appendValue(buffer_, field.value);
    }
    buffer_ += '\n';
}

void BoundedLog::flush()
{
    if (buffer_.empty()) {
        return;
    }
    const auto written = ::write(descriptor_, buffer_.data(), buffer_.size());
    if (written > 0) {
        buffer_.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace cardamomstep
