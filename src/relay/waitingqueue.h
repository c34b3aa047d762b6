// The statements of one group that wait for a connection: their order, and which of them are refused.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "relay/message.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cardamomstep::relay {

/// The connections that a waiting statement competes for.
enum class WaitingLane : std::uint8_t {
    Primary, ///< Only the primary can serve it.
    Readers, ///< Replicas can serve it as well.
};

/// One statement that waits for a connection.
struct WaitingStatement {
    CallerKey caller = 0;
    /// Empty where callers need no key.
    CustomerName customer;
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    WaitingLane lane = WaitingLane::Readers;
    /// When it should be answered.
    TimePoint objective;
    /// When its answer is of no use any more.
    TimePoint deadline;
    /// It was sent before, so its customer's turn was used already.
    bool retry = false;
};

/// How fast the connections of one lane serve waiting statements.
struct LaneEstimate {
    /// Mean time for which a statement or transaction uses a connection; 0 while unknown.
    Microseconds timeInSlot{0};
    /// Connections that are open or may be opened; 0 while none can serve, so that nothing is known about the wait.
    std::uint32_t connections = 0;

    /// Returns the expected time until \a waiting statements have been sent.
    [[nodiscard]] Microseconds waitAfter(std::size_t waiting) const noexcept
    {
        return connections == 0 ? Microseconds{0} : timeInSlot * static_cast<std::int64_t>(waiting) / connections;
    }
};

/// The bounds and estimates that decide who may wait.
struct WaitingTerms {
    std::size_t maxWaiting = 400;
    LaneEstimate primary;
    LaneEstimate readers;

    [[nodiscard]] const LaneEstimate &of(WaitingLane lane) const noexcept
    {
        return lane == WaitingLane::Primary ? primary : readers;
    }
};

/// What became of a new statement.
enum class WaitingOutcome : std::uint8_t {
    Waiting,
    TooLate, ///< Refused: its turn is expected after its deadline.
    Full, ///< Refused: the queue is full of statements that come before it.
};

/// The result of WaitingQueue::add().
struct WaitingDecision {
    WaitingOutcome outcome = WaitingOutcome::Waiting;
    /// The statement that was removed to make room; it must be refused.
    std::optional<CallerKey> displaced;
};

/// Orders waiting statements by priority, by turns of the customers within a priority, and by time within a customer.
///
/// A customer's statements that can still meet their latency objective come first, by the objective. The others follow: at a load above
/// the capacity, an order by time alone would serve each statement just after its objective.
class WaitingQueue
{
public:
    /// Adds a statement, unless it has to be refused.
    [[nodiscard]] WaitingDecision add(const WaitingStatement &statement, const WaitingTerms &terms, TimePoint now);

    /// Removes a statement that is not served; ignored if it does not wait.
    void remove(CallerKey caller);

    /// Removes a statement that was sent to a member, and uses its customer's turn.
    void served(CallerKey caller);

    /// Returns all callers in the order in which they are served.
    [[nodiscard]] std::vector<CallerKey> order(const WaitingTerms &terms, TimePoint now) const;

    /// Returns all callers, in any order.
    [[nodiscard]] std::vector<CallerKey> callers() const;

    /// Returns the callers whose turn is expected after their deadline.
    [[nodiscard]] std::vector<CallerKey> tooLate(const WaitingTerms &terms, TimePoint now) const;

    /// Returns the expected time until everything that waits has been sent.
    [[nodiscard]] Microseconds drainTime(const WaitingTerms &terms) const;

    [[nodiscard]] std::size_t size() const noexcept
    {
        return places_.size();
    }
    [[nodiscard]] bool empty() const noexcept
    {
        return places_.empty();
    }

private:
    /// Turns are counted for each priority and lane, so that statements that wait for a primary earn no turns at replicas.
    using LevelKey = std::pair<std::uint32_t, WaitingLane>;

    struct CustomerStatements {
        /// Number of the turn that the customer's next statement takes.
        std::int64_t turn = 0;
        std::vector<WaitingStatement> waiting;
    };

    struct Level {
        /// The highest number of a turn that was taken; a customer that returns does not take older ones.
        std::int64_t lastTurn = 0;
        std::map<CustomerName, CustomerStatements> customers;
    };

    /// A statement's place in the order.
    struct Rank {
        std::uint32_t priority = 0;
        /// Number of turns until the statement's own.
        std::int64_t turns = 0;
        TimePoint objective;
        CallerKey caller = 0;
        WaitingLane lane = WaitingLane::Readers;
        TimePoint deadline;

        [[nodiscard]] auto operator<=>(const Rank &) const = default;
    };

    struct Place {
        LevelKey level;
        CustomerName customer;
    };

    [[nodiscard]] std::vector<Rank> ranks(const WaitingTerms &terms, TimePoint now) const;
    void insert(const WaitingStatement &statement);
    void take(CallerKey caller, bool usesTurn);

    std::map<LevelKey, Level> levels_;
    /// Invariant: names each statement in levels_ exactly once.
    std::unordered_map<CallerKey, Place> places_;
};

} // namespace cardamomstep::relay
