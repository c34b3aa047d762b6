// Notices that a watch missed changes that other processes know of.
#pragma once

#include "base/time.h"
#include "store/object.h"

namespace cardamomstep {

/// Compares what a watch brought with what others tell, so that a watch may wait long and a silent one is still found out soon.
///
/// Pure: time is passed in.
class MissedNews
{
public:
    /// News is missed when it has not come \a grace after another process told of it.
    explicit MissedNews(Milliseconds grace)
        : grace_(grace)
    {
    }

    /// Takes in that another process knows a change at \a newest, while all up to \a complete is known here. True when the watch is to
    /// be made anew.
    [[nodiscard]] bool told(Revision newest, Revision complete, TimePoint now) noexcept
    {
        if (newest <= complete) {
            awaited_ = Revision{};
            return false;
        }
        const bool arrived = awaited_ <= complete;
        if (arrived) {
            awaited_ = newest;
            since_ = now;
        }
        if (now - since_ < grace_) {
            return false;
        }
        // The new watch gets the same time.
        since_ = now;
        return true;
    }

private:
    Milliseconds grace_;
    /// The change that is waited for; 0 for none.
    Revision awaited_;
    TimePoint since_;
};

} // namespace cardamomstep
