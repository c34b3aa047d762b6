// Connections of this process to one member, with what each of them carries.
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

/// What the reply to one request on a link is for.
enum class ReplyPurpose : std::uint8_t {
    Statement, ///< A caller's statement.
    Begin, ///< Opens a caller's transaction; its statement follows.
    Setup, ///< Lines the connection up with a session.
    Rollback, ///< Ends a transaction of a caller that was answered already.
    Probe, ///< Asks for the member's position.
};

/// One request that a member has not answered yet.
struct AwaitedReply {
    ReplyPurpose purpose = ReplyPurpose::Statement;
    TimePoint sentAt;
    /// When the connection counts as silent.
    TimePoint silentAt;
};

/// Where a link stands.
enum class PooledConnectionState : std::uint8_t {
    Opening,
    Idle,
    InUse, ///< It serves one caller's statement or transaction.
    AwaitingReplies, ///< Its caller is gone; it becomes idle once all replies are in.
};

/// One connection to a member.
struct PooledConnection {
    MemberConnectionKey key = 0;
    MemberName member;
    GroupName group;
    PooledConnectionState state = PooledConnectionState::Opening;
    /// The caller it is lent to; 0 for none.
    CallerKey caller = 0;
    /// When it entered its phase.
    TimePoint since;
    /// Session values that the member holds for this connection.
    std::map<std::string, std::string> values;
    /// Names that are prepared on this connection.
    std::set<std::string> prepared;
    std::deque<AwaitedReply> awaited;
};

/// Settings of a pool.
struct MemberPoolLimits {
    /// First and longest pause after a failed open or a broken connection.
    Milliseconds initialPause{100};
    Milliseconds maxPause{1'500};
    /// Pause of opens after the member refused a connection because of its limit; above the fair share it is twice as long.
    Milliseconds limitRefusalPause{150};
    /// An idle connection above the fair share is closed after this time, and at once where connections are scarce.
    Milliseconds surplusIdleTimeout{400};
    /// An idle connection within the fair share is closed after this time; one is kept.
    Milliseconds spareIdleTimeout{400};
    /// Connections count as scarce for this long after the member refused one because of its limit.
    Milliseconds scarcityPeriod{2'000};
    /// Answer time of a member before any was measured.
    Microseconds initialReplyTime{25'000};
};

/// The links to one member and what was learned of it.
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

    /// Sets the fair share of the member's connections and how many may be held at most while others leave theirs unused.
    void setAllowed(std::uint32_t fairShare, std::uint32_t maxConnections) noexcept
    {
        fairShare_ = fairShare;
        maxConnections_ = maxConnections;
    }

    [[nodiscard]] std::uint32_t fairShare() const noexcept
    {
        return fairShare_;
    }

    /// True when another connection may be opened at \a now.
    [[nodiscard]] bool mayOpen(TimePoint now) const noexcept
    {
        const auto from = connections_.size() < fairShare_ ? openAllowedFrom_ : surplusAllowedFrom_;
        return connections_.size() < maxConnections_ && now >= from && now >= pausedUntil_;
    }

    /// True when the member answered lately, or nothing speaks against it.
    [[nodiscard]] bool usable(TimePoint now) const noexcept
    {
        return now >= pausedUntil_;
    }

    /// True when every connection that is allowed is open or being opened.
    [[nodiscard]] bool exhausted() const noexcept
    {
        return connections_.size() >= maxConnections_;
    }

    PooledConnection &add(MemberConnectionKey key, TimePoint now);
    void remove(MemberConnectionKey key);
    [[nodiscard]] PooledConnection *find(MemberConnectionKey key) noexcept;

    /// The idle link that needs the least preparation for \a values; null when none is idle.
    [[nodiscard]] PooledConnection *bestIdle(const std::map<std::string, std::string> &values) noexcept;

    /// An idle link that should be closed, so that others can open theirs; 0 when there is none.
    [[nodiscard]] MemberConnectionKey surplusConnection(TimePoint now) const noexcept;

    [[nodiscard]] std::uint32_t count(PooledConnectionState state) const noexcept;
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

    /// Takes in any sign of life.
    void onContact(TimePoint now) noexcept
    {
        lastReplyAt_ = now;
        failures_ = 0;
    }

    /// Takes in that a statement was answered after \a time.
    void onReply(Microseconds time) noexcept
    {
        replyTime_.observe(time);
    }

    /// Takes in that a connection broke, was silent or could not be opened.
    void failed(TimePoint now) noexcept;

    /// Takes in that the member refused a connection because of its limit.
    void limitReached(TimePoint now) noexcept;

    [[nodiscard]] const SmoothedTime &replyTime() const noexcept
    {
        return replyTime_;
    }
    [[nodiscard]] TimePoint lastReplyAt() const noexcept
    {
        return lastReplyAt_;
    }

    /// Position of the member's log as last told; replicas only.
    LogPosition position;
    /// Until when reads are kept away because the log lagged behind what they needed.
    TimePoint laggingUntil;

private:
    /// How long a link may be idle now; nothing when all may stay.
    [[nodiscard]] std::optional<Milliseconds> idleTimeout(TimePoint now) const noexcept;

    MemberPoolLimits limits_;
    MemberEntry entry_;
    std::uint32_t fairShare_ = 0;
    std::uint32_t maxConnections_ = 0;
    std::map<MemberConnectionKey, PooledConnection> connections_;
    SmoothedTime replyTime_;
    TimePoint lastReplyAt_;
    /// No use is made of the member before.
    TimePoint pausedUntil_;
    /// Connections within and above the fair share may be opened from here on.
    TimePoint openAllowedFrom_;
    TimePoint surplusAllowedFrom_;
    /// When the member last refused a connection because of its limit.
    TimePoint limitRefusedAt_;
    std::uint32_t failures_ = 0;
};

} // namespace cardamomstep::relay
