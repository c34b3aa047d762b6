// Faults that a test orders from a stand-in: delays, cuts, silence, lag and damaged answers.
#pragma once

#include "base/random.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>
#include <utility>

namespace cardamomstep::standins {

/// How a store in an outage behaves.
enum class Outage : std::uint8_t {
    None,
    Refusing, ///< Every request gets status 503.
    Silent, ///< No request is ever answered.
};

/// What happens to the answer of one exchange.
enum class AnswerFault : std::uint8_t {
    None,
    Lost, ///< The change took effect, but the connection closes without an answer.
    Truncated, ///< The connection closes in the middle of the body.
    Swapped, ///< The answer names another exchange.
    Duplicated, ///< The answer is sent twice.
    RowMissing, ///< The last row is left out, although the row count says otherwise.
};

/// The time that a message takes between two failure domains.
struct Delay {
    std::chrono::duration<double, std::milli> base{0};
    /// Greatest random addition.
    std::chrono::duration<double, std::milli> jitter{0};
};

/// The faults in force; safe for use by many threads.
class Faults
{
public:
    /// Begins without faults, in failure domain \a domain.
    explicit Faults(std::string domain);

    /// Merges \a change, as `POST /control/faults` takes it; throws nlohmann::json::exception when a value has the wrong type.
    void merge(const nlohmann::json &change);

    /// The faults in force.
    [[nodiscard]] nlohmann::json state() const;

    /// The own failure domain.
    [[nodiscard]] const std::string &domain() const noexcept
    {
        return domain_;
    }

    /// Draws the one-way time between two failure domains; the pair counts in both directions.
    [[nodiscard]] std::chrono::microseconds oneWay(const std::string &from, const std::string &to);

    /// Returns when the process is not frozen.
    void waitWhileFrozen();

    /// True when messages from and to the instance \a name are cut.
    [[nodiscard]] bool isCut(const std::string &name) const;

    /// True when cut messages vanish; otherwise their connections are closed at once.
    [[nodiscard]] bool cutsSilently() const;

    [[nodiscard]] Outage outage() const;
    [[nodiscard]] std::chrono::microseconds slow() const;
    [[nodiscard]] std::chrono::microseconds lag() const;
    [[nodiscard]] bool stuck() const;
    [[nodiscard]] bool leaving() const;
    /// True when a leaving member also refuses work.
    [[nodiscard]] bool refusesWork() const;

    /// Uses up one ordered answer fault; losses hit only answers to changes.
    [[nodiscard]] AnswerFault consumeAnswerFault(bool isChange);

private:
    bool consume(const char *name);

    mutable std::mutex mutex_;
    std::condition_variable thawed_;
    std::string domain_;
    Random random_{1};
    std::map<std::pair<std::string, std::string>, Delay> delays_;
    std::set<std::string> cut_;
    bool cutsSilently_ = false;
    bool frozen_ = false;
    bool stuck_ = false;
    bool leaving_ = false;
    bool refusesWork_ = false;
    Outage outage_ = Outage::None;
    std::chrono::duration<double, std::milli> slow_{0};
    std::chrono::duration<double, std::milli> lag_{0};
    /// Ordered answer faults that are still to come, by their name in the control message.
    std::map<std::string, std::uint64_t> answers_;
};

} // namespace cardamomstep::standins
