// Tests that a watch that missed changes known to peers is detected.
#include "store/catalogrevisions.h"
#include "store/missedchangedetector.h"

#include <criterion/criterion.h>

using namespace cardamomstep;

namespace {

constexpr Milliseconds grace{500};

TimePoint at(int milliseconds)
{
    return TimePoint{} + Seconds{100} + Milliseconds{milliseconds};
}

} // namespace

Test(store, watchThatDeliversWithinTheGraceIsKept)
{
    MissedChangeDetector detector(grace);
    cr_assert(!detector.onPeerRevision(Revision{7}, Revision{5}, at(0)));
    cr_assert(!detector.onPeerRevision(Revision{7}, Revision{5}, at(499)));
    cr_assert(!detector.onPeerRevision(Revision{7}, Revision{7}, at(600)));
}

Test(store, silentWatchIsRestartedAfterTheGrace)
{
    MissedChangeDetector detector(grace);
    cr_assert(!detector.onPeerRevision(Revision{7}, Revision{5}, at(0)));
    cr_assert(detector.onPeerRevision(Revision{7}, Revision{5}, at(500)));
    cr_assert(!detector.onPeerRevision(Revision{7}, Revision{5}, at(600)), "the restarted watch gets the grace, too");
    cr_assert(detector.onPeerRevision(Revision{7}, Revision{5}, at(1'000)));
}

Test(store, changesInQuickSuccessionAreNotMissed)
{
    MissedChangeDetector detector(grace);
    for (int change = 0; change < 20; ++change) {
        const auto known = static_cast<std::uint64_t>(change);
        cr_assert(!detector.onPeerRevision(Revision{known + 1}, Revision{known}, at(change * 300)),
                  "always one change behind, never longer than the grace");
    }
}

Test(store, newerRevisionDoesNotExtendTheGrace)
{
    MissedChangeDetector detector(grace);
    cr_assert(!detector.onPeerRevision(Revision{7}, Revision{5}, at(0)));
    cr_assert(!detector.onPeerRevision(Revision{8}, Revision{5}, at(300)));
    cr_assert(detector.onPeerRevision(Revision{9}, Revision{5}, at(500)));
}

Test(store, catalogRevisionsOnlyRise)
{
    CatalogRevisions revisions{Revision{5}, Revision{9}};
    revisions.advanceTo({Revision{7}, Revision{3}});
    cr_assert(revisions == (CatalogRevisions{Revision{7}, Revision{9}}));
}

// The reply to a watch, with a configuration of thousands of routes, took longer on a slow link than the grace; restarted each time,
// it never arrived (incident inc2, kpv-swapdesk-grown).
Test(store, aReplyThatTakesLongerThanTheGraceArrives)
{
    constexpr int transferMs = 900;
    constexpr int deadlineMs = 3'000;
    MissedChangeDetector detector(grace);
    int startedAt = 0;
    bool arrived = false;
    for (int now = 0; now < deadlineMs && !arrived; now += 100) {
        arrived = now - startedAt >= transferMs;
        if (detector.onPeerRevision(Revision{7}, arrived ? Revision{7} : Revision{5}, at(now))) {
            startedAt = now;
        }
    }
    cr_assert(arrived);
}
