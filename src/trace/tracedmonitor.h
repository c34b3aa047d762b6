// A GroupMonitor that records its inputs and actions.
#pragma once

#include "trace/grouplines.h"

#include <concepts>
#include <string>
#include <utility>

namespace cardamomstep::trace {

/// Receives the lines of a trace, without line ends; must not block, since it is called between an input and its actions.
template<typename T>
concept LineSink = std::invocable<T &, const std::string &>;

/// Drives a GroupMonitor and passes each line of its trace to a sink.
///
/// Example:
/// \code
/// TracedMonitor monitor{start, [&file](const std::string &line) { file << line << '\n'; }};
/// perform(monitor.handle(Tick{}, now));
/// \endcode
template<LineSink Sink>
class TracedMonitor
{
public:
    TracedMonitor(const GroupStart &start, Sink sink)
        : monitor_(start.members, start.rank, start.policy, start.seed, start.now)
        , sink_(std::move(sink))
    {
        sink_(startLine(start));
    }

    /// Applies \a input to the monitor, records it with the resulting actions and returns them.
    [[nodiscard]] GroupActions handle(const GroupInput &input, TimePoint now)
    {
        auto actions = apply(monitor_, input, now);
        sink_(stepLine(input, actions, now));
        return actions;
    }

    /// Records the current primary as the outcome that a replay must reach.
    void recordOutcome(TimePoint now)
    {
        sink_(outcomeLine(monitor_.primary(), now));
    }

    /// The monitor, for queries.
    [[nodiscard]] const GroupMonitor &monitor() const noexcept
    {
        return monitor_;
    }

private:
    GroupMonitor monitor_;
    Sink sink_;
};

} // namespace cardamomstep::trace
