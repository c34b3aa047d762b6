// Tests of the bounds of a single-threaded process' log.
#include "logging/boundedlog.h"

#include <criterion/criterion.h>

#include <cstdio>
#include <string>
#include <unistd.h>

using namespace cardamomstep;

namespace {

constexpr std::size_t bufferBytes = 300;
/// Longer than any line of these tests.
constexpr std::size_t lineBytes = 200;

/// A file that is deleted when it is closed.
class TemporaryFile
{
public:
    TemporaryFile()
        : file_(std::tmpfile())
    {
    }
    ~TemporaryFile()
    {
        std::fclose(file_);
    }
    TemporaryFile(const TemporaryFile &) = delete;
    TemporaryFile &operator=(const TemporaryFile &) = delete;

    [[nodiscard]] int descriptor() const
    {
        return fileno(file_);
    }

    [[nodiscard]] std::string text() const
    {
        std::string text(1 << 16, ' ');
        const auto count = pread(descriptor(), text.data(), text.size(), 0);
        text.resize(count < 0 ? 0 : static_cast<std::size_t>(count));
        return text;
    }

private:
    std::FILE *file_;
};

} // namespace

// While nobody read the output, a report of dropped lines was appended every second, and the buffer grew without a bound.
Test(logging, aFullBufferDoesNotGrow)
{
    const TemporaryFile file;
    BoundedLog log(file.descriptor(), LogLevel::Info, "one", {bufferBytes, 400});
    for (int second = 1; second <= 1'000; ++second) {
        log.write(LogLevel::Info, "event", {}, TimePoint{Seconds{second}});
    }
    log.flush();
    cr_assert(file.text().size() <= bufferBytes + lineBytes, "%zu bytes", file.text().size());
}

Test(logging, droppedLinesAreReportedOnceThereIsRoom)
{
    const TemporaryFile file;
    BoundedLog log(file.descriptor(), LogLevel::Info, "one", {bufferBytes, 400});
    for (int line = 0; line < 100; ++line) {
        log.write(LogLevel::Info, "event", {}, TimePoint{Seconds{1}});
    }
    log.write(LogLevel::Info, "event", {}, TimePoint{Seconds{3}});
    const auto dropped = log.dropped();
    cr_assert(dropped > 0);
    log.flush();
    cr_assert(file.text().find("log_dropped") == std::string::npos);
    log.write(LogLevel::Info, "event", {}, TimePoint{Seconds{5}});
    log.flush();
    cr_assert(file.text().find("log_dropped lines=" + std::to_string(dropped)) != std::string::npos, "%s", file.text().c_str());
}
