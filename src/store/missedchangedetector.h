// Detects that a watch missed changes that other processes know.
#pragma once

#include "base/time.h"
#include "store/object.h"

#include <algorithm>

namespace cardamomstep {

/// Compares what a watch delivered with the revisions that peers report, so that a watch may wait long and a silent one is still
/// detected soon.
///
/// A restart discards what has arrived of a reply, so a reply that is arriving is waited for, and each restart that brings no change
/// doubles the time until the next, up to four times the first.
///
/// Performs no I/O and reads no clock: time is passed in.
class MissedChangeDetector
{
public:
    /// A change counts as missed when it has not arrived \a grace after another process reported it, and no part of a reply has arrived
    /// for as long.
    explicit MissedChangeDetector(Milliseconds grace)
        : initialGrace_(grace)
        , grace_(grace)
    {
    }

    /// Records that another process knows a change at \a newest, while all changes up to \a complete are known here and bytes of the
    /// watch's reply last arrived at \a lastBytesAt. Returns true when the watch is to be restarted.
    [[nodiscard]] bool onPeerRevision(Revision newest, Revision complete, TimePoint lastBytesAt, TimePoint now) noexcept
    {
        if (newest <= complete) {
            awaitedRevision_ = Revision{};
            grace_ = initialGrace_;
            return false;
        }
        const bool arrived = awaitedRevision_ <= complete;
        if (arrived) {
            awaitedRevision_ = newest;
            awaitedSince_ = now;
            grace_ = initialGrace_;
        }
        if (now - std::max(awaitedSince_, lastBytesAt) < grace_) {
            return false;
        }
        awaitedSince_ = now;
        grace_ = std::min(grace_ * 2, initialGrace_ * maxGraceFactor);
        return true;
    }

private:
    static constexpr int maxGraceFactor = 4;

    Milliseconds initialGrace_;
    /// The grace until the next restart.
    Milliseconds grace_;
    /// Revision of the change that is waited for; 0 for none.
    Revision awaitedRevision_;
    TimePoint awaitedSince_;
};

} // namespace cardamomstep
