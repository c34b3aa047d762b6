// How a statement would be routed, for operators.
#pragma once

#include "base/errorkind.h"
#include "base/ids.h"
#include "base/logposition.h"
#include "base/time.h"
#include "relay/message.h"
#include "relay/routingtable.h"

#include <optional>
#include <string_view>
#include <vector>

namespace cardamomstep::relay {

/// Why a member does not get a read.
enum class ReaderExclusion : std::uint8_t {
    FailedThisStatement, ///< The statement failed there before.
    PrimaryUnusable, ///< It is the primary, whose record is not valid now, or whose drain time is over.
    Draining,
    Backoff, ///< Its last connections failed.
    NoIdleConnection,
    Lagging, ///< Its log recently lagged behind the position that the read needs.
};

/// Returns the name of \a exclusion, as in the page for operators.
[[nodiscard]] std::string_view nameOf(ReaderExclusion exclusion) noexcept;

/// A statement whose routing is asked for.
struct RouteQuery {
    DatabaseName database;
    bool write = false;
    /// The position of the session's last commit; nothing if it has none.
    std::optional<LogPosition> after;
    /// Empty where there are no customers.
    CustomerName customer = {};
};

/// What one member means for the statement.
struct MemberExplanation {
    MemberName name;
    bool primary = false;
    bool chosen = false;
    /// Why it is not considered; nothing if it is.
    std::optional<ReaderExclusion> exclusion;
    /// The statement must run at the primary, and this is a replica.
    bool notPrimary = false;
    /// The expected cost of a read; up to 2 ms are added at random for each statement.
    Microseconds cost{0};
};

/// How a statement would be routed now.
struct RouteExplanation {
    /// Nothing if the configuration has no route for the database.
    std::optional<Route> route;
    /// Only the primary may serve it.
    bool needsPrimary = false;
    /// The log position that a replica must have; nothing if the primary serves it.
    std::optional<LogPosition> requiredPosition;
    std::vector<MemberExplanation> members;
    std::size_t waiting = 0;
    /// No member can serve it at once, so that it would wait for a connection or a primary.
    bool waits = false;
    /// Set if it would be refused at once.
    std::optional<ErrorKind> refusal;
    /// The shortest retry-after time that a refusal would have; up to as much again is added at random.
    Milliseconds minRetryAfter{0};
};

} // namespace cardamomstep::relay
