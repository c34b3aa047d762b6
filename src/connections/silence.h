// Detects connections that are open but get no replies, and distinguishes a silent connection from a silent member.
#pragma once

#include "base/time.h"
#include "connections/fwd.h"
#include "connections/key.h"
#include "connections/smoothedtime.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace cardamomstep {

/// Probe the member on a new connection, then report probeReplied() or probeFailed().
struct ProbeMember {
    /// A connection with an overdue exchange; 0 when a suspected member is probed again and no exchange is overdue.
    ConnectionKey suspect = 0;

    [[nodiscard]] bool operator==(const ProbeMember &) const = default;
};

/// The connection is silent although the member replies: move its work to another connection and close it.
struct CloseSilentConnection {
    ConnectionKey key = 0;

    [[nodiscard]] bool operator==(const CloseSilentConnection &) const = default;
};

/// Neither the connection nor the probe on a new one got a reply: the member is suspected.
struct MemberSuspected {
    [[nodiscard]] bool operator==(const MemberSuspected &) const = default;
};

/// The member replies again.
struct MemberRecovered {
    [[nodiscard]] bool operator==(const MemberRecovered &) const = default;
};

/// An action in response to overdue replies.
using SilenceAction = std::variant<ProbeMember, CloseSilentConnection, MemberSuspected, MemberRecovered>;

/// Settings of a silence detector.
struct SilenceLimits {
    /// Bounds of overdueAfter().
    Milliseconds minOverdueTime{60};
    Milliseconds maxOverdueTime{2'000};
    /// Deviations above the mean reply time after which a reply is overdue.
    double overdueDeviations = 8;
};

/// Monitors the exchanges with one member.
///
/// An overdue exchange makes its connection suspected; a probe on a new connection then shows whether the member replies. One probe runs
/// at a time.
class SilenceDetector
{
public:
    explicit SilenceDetector(const SilenceLimits &limits = {})
        : limits_(limits)
    {
    }

    /// Records that an exchange started on \a key; \a extraTime is time that the request itself is known to need.
    void exchangeStarted(ConnectionKey key, TimePoint now, Microseconds extraTime = Microseconds{0});

    /// Records that a reply arrived on \a key.
    [[nodiscard]] std::vector<SilenceAction> replied(ConnectionKey key, TimePoint now);

    /// Removes the exchange of a closed connection.
    void closed(ConnectionKey key);

    /// Handles a reply to the probe.
    [[nodiscard]] std::vector<SilenceAction> probeReplied(TimePoint now);

    /// Handles a probe that failed or got no reply within overdueAfter().
    [[nodiscard]] std::vector<SilenceAction> probeFailed(TimePoint now);

    /// Starts a probe when one is due. To be called at nextWake().
    [[nodiscard]] std::vector<SilenceAction> wake(TimePoint now);

    /// The time at which the next probe is due; nothing while a probe runs.
    [[nodiscard]] std::optional<TimePoint> nextWake() const noexcept;

    /// Time after which a reply is overdue.
    [[nodiscard]] Microseconds overdueAfter() const noexcept;

    [[nodiscard]] bool memberSuspect() const noexcept
    {
        return memberSuspect_;
    }

private:
    struct Exchange {
        ConnectionKey key = 0;
        TimePoint startedAt;
        TimePoint overdueAt;
    };

    void clearSuspicion(std::vector<SilenceAction> &actions);

    SilenceLimits limits_;
    SmoothedTime replyTime_;
    /// Exchanges without a reply, at most one for each connection.
    std::vector<Exchange> exchanges_;
    /// When the running probe started; absent while none runs.
    std::optional<TimePoint> probeStartedAt_;
    /// No probe before this time while the member is suspected.
    TimePoint nextProbeAt_;
    bool memberSuspect_ = false;
};

} // namespace cardamomstep
