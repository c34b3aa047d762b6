// Detects connections that have gone silent, and tells a silent connection from a silent member.
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

/// Probe the member on a new connection, then report probeAnswered() or probeFailed().
struct ProbeMember {
    ConnectionKey suspect = 0;

    [[nodiscard]] bool operator==(const ProbeMember &) const = default;
};

/// The connection is silent though the member answers: move its work and close it.
struct CloseSilentConnection {
    ConnectionKey key = 0;

    [[nodiscard]] bool operator==(const CloseSilentConnection &) const = default;
};

/// Neither the connection nor a new one gets an answer: the member is suspect.
struct MemberSuspected {
    [[nodiscard]] bool operator==(const MemberSuspected &) const = default;
};

/// The member answers again.
struct MemberRecovered {
    [[nodiscard]] bool operator==(const MemberRecovered &) const = default;
};

/// What to do about silence.
using SilenceAction = std::variant<ProbeMember, CloseSilentConnection, MemberSuspected, MemberRecovered>;

/// Settings of a silence detector.
struct SilenceLimits {
    /// Bounds of the time after which an answer is overdue.
    Milliseconds minOverdueTime{60};
    Milliseconds maxOverdueTime{2'000};
    /// Deviations above the mean that are still usual.
    double overdueDeviations = 8;
};

/// Watches the exchanges with one member.
///
/// An exchange without an answer by its expected time makes its connection suspect; a probe on a new connection decides. One probe runs at
/// a time.
class SilenceDetector
{
public:
    explicit SilenceDetector(const SilenceLimits &limits = {})
        : limits_(limits)
    {
    }

    /// An exchange began on \a key; \a extra is time that the request itself is known to need.
    void began(ConnectionKey key, TimePoint now, Microseconds extra = Microseconds{0});

    /// An answer arrived on \a key.
    [[nodiscard]] std::vector<SilenceAction> replied(ConnectionKey key, TimePoint now);

    /// The connection is gone.
    void closed(ConnectionKey key);

    /// The probe got its answer.
    [[nodiscard]] std::vector<SilenceAction> probeReplied(TimePoint now);

    /// The probe failed or got no answer in overdueAfter().
    [[nodiscard]] std::vector<SilenceAction> probeFailed(TimePoint now);

    /// Finds overdue exchanges; to be called at nextWake().
    [[nodiscard]] std::vector<SilenceAction> wake(TimePoint now);

    /// When the next exchange becomes overdue; nothing while a probe runs.
    [[nodiscard]] std::optional<TimePoint> nextWake() const noexcept;

    /// Time after which an answer is overdue.
    [[nodiscard]] Microseconds overdueAfter() const noexcept;

    [[nodiscard]] bool memberSuspect() const noexcept
    {
        return memberSuspect_;
    }

private:
    struct Exchange {
        ConnectionKey key = 0;
        TimePoint began;
        TimePoint overdueAt;
    };

    void clearSuspicion(std::vector<SilenceAction> &actions);

    SilenceLimits limits_;
    SmoothedTime replyTime_;
    /// Exchanges without an answer, at most one for each connection.
    std::vector<Exchange> exchanges_;
    /// When the running probe began; absent while none runs.
    std::optional<TimePoint> probeBegan_;
    /// No probe before this time while the member is suspect.
    TimePoint nextProbe_;
    bool memberSuspect_ = false;
};

} // namespace cardamomstep
