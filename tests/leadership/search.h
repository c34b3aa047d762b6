// Depth-first search of all event lists of a model.
#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <utility>
#include <vector>

namespace cardamomstep::leadership::test {

/// Searches the event lists of \a Model, which is copyable and provides enabled(), apply() and violation().
template<typename Model, typename Event>
class Search
{
public:
    Search(Model start, std::vector<Event> events)
        : start_(std::move(start))
        , events_(std::move(events))
    {
    }

    /// Returns the shortest list of at most \a depth events that breaks an invariant; empty if there is none.
    std::vector<Event> shortestViolation(std::size_t depth)
    {
        for (std::size_t length = 1; length <= depth; ++length) {
            path_.clear();
            if (visit(start_, length)) {
                return path_;
            }
        }
        return {};
    }

    /// The number of states visited, counting a state again in each list that leads to it.
    [[nodiscard]] std::uint64_t states() const noexcept
    {
        return states_;
    }

private:
    bool visit(const Model &model, std::size_t remaining)
    {
        ++states_;
        if (!model.violation().empty()) {
            return true;
        }
        if (remaining == 0) {
            return false;
        }
        for (const auto &event : events_) {
            if (!model.enabled(event)) {
                continue;
            }
            auto next = model;
            next.apply(event);
            path_.push_back(event);
            if (visit(next, remaining - 1)) {
                return true;
            }
            path_.pop_back();
        }
        return false;
    }

    Model start_;
    std::vector<Event> events_;
    std::vector<Event> path_;
    std::uint64_t states_ = 0;
};

/// Returns the number in an environment variable, for deeper searches by hand; \a fallback when it is not set.
[[nodiscard]] inline std::size_t numberFromEnvironment(const char *variable, std::size_t fallback)
{
    const char *text = std::getenv(variable);
    return text == nullptr ? fallback : static_cast<std::size_t>(std::strtoul(text, nullptr, 10));
}

} // namespace cardamomstep::leadership::test
