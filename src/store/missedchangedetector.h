// Detects that a watch missed changes that other processes know.
#pragma once

#include "base/time.h"
#include "store/object.h"

namespace cardamomstep {

/// Compares what a watch delivered with the revisions that peers report, so that a watch may wait long and a silent one is still
/// detected soon.
///
/// Performs no I/O and reads no clock: time is passed in.
class MissedChangeDetector
{
public:
    /// A change counts as missed when it has not arrived \a grace after another process reported it.
    explicit MissedChangeDetector(Milliseconds grace)
        : grace_(grace)
    {
    }

    /// Records that another process knows a change at \a newest, while all changes up to \a complete are known here. Returns true when
    /// the watch is to be restarted.
    [[nodiscard]] bool onPeerRevision(Revision newest, Revision complete, TimePoint now) noexcept
    {
        if (newest <= complete) {
            awaitedRevision_ = Revision{};
            return false;
        }
        const bool arrived = awaitedRevision_ <= complete;
        if (arrived) {
            awaitedRevision_ = newest;
            awaitedSince_ = now;
        }
        if (now - awaitedSince_ < grace_) {
            return false;
        }
        // The restarted watch gets the full grace again.
        awaitedSince_ = now;
        return true;
    }

private:
    Milliseconds grace_;
    /// Revision of the change that is waited for; 0 for none.
    Revision awaitedRevision_;
    TimePoint awaitedSince_;
};

} // namespace cardamomstep
