// The connections of this process to one member, and the state of each.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "connections/smoothedtime.h"
#include "relay/directory.h"
#include "relay/message.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cardamomstep::relay {

/// The kind of request that a reply belongs to.
enum class ReplyPurpose : std::uint8_t {
    Statement, ///< A caller's statement.
    Begin, ///< Opens a caller's transaction; its statement follows.
    Setup, ///< Applies a session's values and prepared statements to the connection.
    Rollback, ///< Ends a transaction whose caller has already been answered.
    Probe, ///< Queries the member's log position.
};

/// One request that a member has not replied to yet.
struct AwaitedReply {
    ReplyPurpose purpose = ReplyPurpose::Statement;
    TimePoint sentAt;
    /// When the connection counts as silent if the reply has not arrived.
    TimePoint silentAt;
};

/// The state of a pooled connection.
enum class PooledConnectionState : std::uint8_t {
    Opening,
    Idle,
    InUse, ///< It serves one caller's statement or transaction.
    AwaitingReplies, ///< It has no caller; it becomes idle once all replies have arrived.
};

/// The pool's record of one connection to a member.
struct PooledConnection {
    MemberConnectionKey key = 0;
    MemberName member;
    GroupName group;
    /// The customer that it belongs to until it is closed; empty without customers.
    CustomerName customer;
    PooledConnectionState state = PooledConnectionState::Opening;
    /// The caller that uses it; 0 for none.
    CallerKey caller = 0;
    /// The last reply showed the session to be idle, and no request of this process's own failed; otherwise it serves no other caller.
    bool reusable = true;
    /// When it entered its state.
    TimePoint stateSince;
    /// Session values set at the member for this connection.
    std::map<std::string, std::string> values;
    /// Names of the statements prepared on this connection.
    std::set<std::string> prepared;
    /// Oldest request first; the member replies in this order.
    std::deque<AwaitedReply> awaited;
};

/// Settings of a pool.
struct MemberPoolLimits {
    /// Initial and longest backoff after a failed open or a broken connection.
    Milliseconds initialBackoff{100};
    Milliseconds maxBackoff{1'500};
    /// Time without opens after the member refused a connection because of its limit; above the fair share it is twice as long.
    Milliseconds limitRefusalBackoff{150};
    /// An idle connection above the fair share is closed after this time, and at once while connections are scarce.
    Milliseconds surplusIdleTimeout{400};
    /// An idle connection within the fair share is closed after this time, except the last one.
    Milliseconds spareIdleTimeout{400};
    /// A connection of another customer is replaced by a further one of a customer only after it was idle for this long: it is likely to
    /// be used again, and opening costs the member as much as a short statement. The first connection of a customer does not wait.
    Milliseconds replacedAfterIdle{100};
    /// The idle timeout of connections above the fair share if connections belong to customers.
    Milliseconds customerSurplusIdleTimeout{400};
    /// Connections count as scarce for this long after the member refused one because of its limit.
    Milliseconds scarcityPeriod{2'000};
    /// The reply time assumed for a member before any was measured.
    Microseconds initialReplyTime{25'000};
};

/// The connections to one member, with the member's reply times and failures.
class MemberPool
{
public:
    explicit MemberPool(MemberEntry entry, const MemberPoolLimits &limits = {})
        : limits_(limits)
        , entry_(std::move(entry))
        , replyTime_(limits.initialReplyTime)
    {
    }

    [[nodiscard]] const MemberEntry &entry() const noexcept
    {
        return entry_;
    }
    void setEntry(const MemberEntry &entry)
    {
        entry_ = entry;
    }

    /// Sets this process's fair share of the member's connections, and the maximum that it may open while others leave theirs unused.
    void setConnectionLimits(std::uint32_t fairShare, std::uint32_t maxConnections) noexcept
    {
        fairShare_ = fairShare;
        maxConnections_ = maxConnections;
    }

    /// Sets that connections belong to customers: those within the fair share stay open while idle, as each can serve one customer only.
    void keepFairShareOpen() noexcept
    {
        keepsFairShare_ = true;
    }

    [[nodiscard]] std::uint32_t fairShare() const noexcept
    {
        return fairShare_;
    }

    /// Returns true if another connection may be opened at \a now.
    [[nodiscard]] bool mayOpen(TimePoint now) const noexcept
    {
        const auto from = connections_.size() < fairShare_ ? openAllowedFrom_ : surplusAllowedFrom_;
        return connections_.size() < maxConnections_ && now >= from && now >= backoffUntil_;
    }

    /// Returns true if a connection may be opened for \a customer at \a now, if need be in place of one of another customer.
    [[nodiscard]] bool mayOpenFor(const CustomerName &customer, TimePoint now) const noexcept
    {
        return mayOpen(now) || (mayReplace(now) && idleOfAnother(customer, now) != 0);
    }

    /// Returns true if an idle connection may be closed to open another one in its place.
    [[nodiscard]] bool mayReplace(TimePoint now) const noexcept
    {
        return now >= openAllowedFrom_ && now >= backoffUntil_;
    }

    /// Returns true if no more connections are allowed, but one that is closed may be replaced at once.
    [[nodiscard]] bool isFull(TimePoint now) const noexcept
    {
        return exhausted() && now >= surplusAllowedFrom_ && mayReplace(now);
    }

    /// Returns true unless the backoff after a failure is still running.
    [[nodiscard]] bool usable(TimePoint now) const noexcept
    {
        return now >= backoffUntil_;
    }

    /// Returns true if every allowed connection is open or being opened.
    [[nodiscard]] bool exhausted() const noexcept
    {
        return connections_.size() >= maxConnections_;
    }

    PooledConnection &add(MemberConnectionKey key, TimePoint now, const CustomerName &customer = {});
    void remove(MemberConnectionKey key);
    [[nodiscard]] PooledConnection *find(MemberConnectionKey key) noexcept;

    /// Returns the idle connection of \a customer that needs the fewest setup requests for \a values; null if none is idle.
    [[nodiscard]] PooledConnection *bestIdle(const CustomerName &customer, const std::map<std::string, std::string> &values) noexcept;

    /// Returns an idle connection of any customer, for requests of this process; null if none is idle.
    [[nodiscard]] PooledConnection *anyIdle() noexcept;

    /// Returns true if a connection of \a customer is idle.
    [[nodiscard]] bool hasIdle(const CustomerName &customer) const noexcept;

    /// Returns true if a connection of \a customer is open or being opened.
    [[nodiscard]] bool serves(const CustomerName &customer) const noexcept
    {
        return countOf(customer) > 0;
    }

    /// Returns the connection that was idle longest among those of other customers than \a customer; 0 if there is none to replace.
    [[nodiscard]] MemberConnectionKey idleOfAnother(const CustomerName &customer, TimePoint now) const noexcept;

    /// Returns an idle connection that should be closed, so that other proxies can open theirs; 0 if there is none.
    [[nodiscard]] MemberConnectionKey surplusConnection(TimePoint now) const noexcept;

    [[nodiscard]] std::uint32_t count(PooledConnectionState state) const noexcept;
    /// Returns the number of connections of \a customer, in \a state if it is given.
    [[nodiscard]] std::uint32_t countOf(const CustomerName &customer,
                                        std::optional<PooledConnectionState> state = std::nullopt) const noexcept;
    [[nodiscard]] std::uint32_t size() const noexcept
    {
        return static_cast<std::uint32_t>(connections_.size());
    }
    [[nodiscard]] std::map<MemberConnectionKey, PooledConnection> &connections() noexcept
    {
        return connections_;
    }
    [[nodiscard]] const std::map<MemberConnectionKey, PooledConnection> &connections() const noexcept
    {
        return connections_;
    }

    /// Records a reply or a limit refusal of the member, which shows that it is alive; ends the backoff sequence.
    void onContact(TimePoint now) noexcept
    {
        lastReplyAt_ = now;
        failures_ = 0;
    }

    /// Records a reply to a statement after \a time.
    void onReply(Microseconds time) noexcept
    {
        replyTime_.observe(time);
    }

    /// Records that a connection broke, was silent or could not be opened.
    void onFailure(TimePoint now) noexcept;

    /// Records that the member refused a connection because of its limit.
    void onLimitRefused(TimePoint now) noexcept;

    [[nodiscard]] const SmoothedTime &replyTime() const noexcept
    {
        return replyTime_;
    }
    [[nodiscard]] TimePoint lastReplyAt() const noexcept
    {
        return lastReplyAt_;
    }

    /// The member's log position as last reported; replicas only.
    LogPosition position;
    /// When the member announced that it drains, as far as known; nothing unless it did.
    std::optional<TimePoint> drainingSince;
    /// Until when reads beyond `position` are not sent to the member, after its log lagged behind the position that a read needed.
    TimePoint laggingUntil;

private:
    /// Returns how long a connection may stay idle; nothing if there is no limit.
    [[nodiscard]] std::optional<Milliseconds> idleTimeout(TimePoint now) const noexcept;

    MemberPoolLimits limits_;
    MemberEntry entry_;
    std::uint32_t fairShare_ = 0;
    std::uint32_t maxConnections_ = 0;
    bool keepsFairShare_ = false;
    std::map<MemberConnectionKey, PooledConnection> connections_;
    SmoothedTime replyTime_;
    TimePoint lastReplyAt_;
    /// The member is not used before this time.
    TimePoint backoffUntil_;
    /// When connections within and above the fair share may be opened again.
    TimePoint openAllowedFrom_;
    TimePoint surplusAllowedFrom_;
    /// When the member last refused a connection because of its limit.
    TimePoint limitRefusedAt_;
    /// Number of failures since the last contact; the backoff doubles with each, up to `maxBackoff`.
    std::uint32_t failures_ = 0;
};

} // namespace cardamomstep::relay
