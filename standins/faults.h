// Faults that a test injects into a stand-in: delays, cuts, silence, lag and damaged replies.
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
    Silent, ///< No request is answered.
};

/// The fault applied to the reply of one exchange.
enum class AnswerFault : std::uint8_t {
    None,
    Lost, ///< The change took effect, but the connection closes without a reply.
    Truncated, ///< The connection closes in the middle of the body.
    Swapped, ///< The reply names another exchange.
    Duplicated, ///< The reply is sent twice.
    RowMissing, ///< The last row is missing, while the row count still includes it.
};

/// One-way delay of messages between two failure domains.
struct Delay {
    std::chrono::duration<double, std::milli> base{0};
    /// Upper bound of the random addition to `base`.
    std::chrono::duration<double, std::milli> jitter{0};
};

/// The faults in force. Thread-safe.
class Faults
{
public:
    /// Starts without faults, in failure domain \a domain.
    explicit Faults(std::string domain);

    /// Merges \a change, the body of `POST /control/faults`. Throws nlohmann::json::exception if a value has the wrong type.
    void merge(const nlohmann::json &change);

    /// Returns the faults in force.
    [[nodiscard]] nlohmann::json state() const;

    /// The stand-in's own failure domain.
    [[nodiscard]] const std::string &domain() const noexcept
    {
        return domain_;
    }

    /// Draws the one-way delay between two failure domains; a configured pair applies in both directions.
    [[nodiscard]] std::chrono::microseconds drawDelay(const std::string &from, const std::string &to);

    /// Blocks while the freeze fault is in force.
    void waitWhileFrozen();

    /// True when messages from and to the instance \a name are cut off.
    [[nodiscard]] bool isCut(const std::string &name) const;

    /// True when cut messages are dropped silently; otherwise their connections are closed at once.
    [[nodiscard]] bool cutsSilently() const;

    [[nodiscard]] Outage outage() const;
    /// Time added to each statement of a member or request to the store (`slowMs`).
    [[nodiscard]] std::chrono::microseconds extraServiceTime() const;
    /// Additional delay before a replica applies an entry, or before the store's new instance list becomes visible.
    [[nodiscard]] std::chrono::microseconds lag() const;
    /// True when a replica pulls and applies no entries.
    [[nodiscard]] bool stuck() const;
    /// True when a member reports that it is leaving.
    [[nodiscard]] bool leaving() const;
    /// True when the member refuses new statements and transactions.
    [[nodiscard]] bool refusesWork() const;

    /// Consumes and returns one pending answer fault; AnswerFault::Lost applies only to replies to changes.
    [[nodiscard]] AnswerFault consumeAnswerFault(bool isChange);

private:
    bool consume(const char *name);

    mutable std::mutex mutex_;
    std::condition_variable changed_;
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
    std::chrono::duration<double, std::milli> extraServiceTime_{0};
    std::chrono::duration<double, std::milli> lag_{0};
    /// Number of replies still to be damaged, by the name of the fault in the control message.
    std::map<std::string, std::uint64_t> pendingAnswerFaults_;
};

} // namespace cardamomstep::standins
