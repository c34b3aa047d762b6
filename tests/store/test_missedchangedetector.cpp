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

/// No bytes of a reply have arrived.
constexpr TimePoint noBytes{};

} // namespace

Test(store, watchThatDeliversWithinTheGraceIsKept)
{
    MissedChangeDetector detector(grace);
    cr_assert(!detector.onPeerRevision(Revision{7}, Revision{5}, noBytes, at(0)));
    cr_assert(!detector.onPeerRevision(Revision{7}, Revision{5}, noBytes, at(499)));
    cr_assert(!detector.onPeerRevision(Revision{7}, Revision{7}, noBytes, at(600)));
}

Test(store, silentWatchIsRestartedAfterTheGrace)
{
    MissedChangeDetector detector(grace);
    cr_assert(!detector.onPeerRevision(Revision{7}, Revision{5}, noBytes, at(0)));
    cr_assert(detector.onPeerRevision(Revision{7}, Revision{5}, noBytes, at(500)));
    cr_assert(!detector.onPeerRevision(Revision{7}, Revision{5}, noBytes, at(600)), "the restarted watch gets a grace, too");
    cr_assert(!detector.onPeerRevision(Revision{7}, Revision{5}, noBytes, at(1'499)), "and a longer one");
    cr_assert(detector.onPeerRevision(Revision{7}, Revision{5}, noBytes, at(1'500)));
    cr_assert(detector.onPeerRevision(Revision{7}, Revision{5}, noBytes, at(3'500)));
    cr_assert(detector.onPeerRevision(Revision{7}, Revision{5}, noBytes, at(5'500)), "four times the first grace at most");
    cr_assert(!detector.onPeerRevision(Revision{7}, Revision{7}, noBytes, at(6'000)));
    cr_assert(!detector.onPeerRevision(Revision{9}, Revision{7}, noBytes, at(6'100)));
    cr_assert(detector.onPeerRevision(Revision{9}, Revision{7}, noBytes, at(6'600)), "the next change gets the first grace");
}

Test(store, changesInQuickSuccessionAreNotMissed)
{
    MissedChangeDetector detector(grace);
    for (int change = 0; change < 20; ++change) {
        const auto known = static_cast<std::uint64_t>(change);
        cr_assert(!detector.onPeerRevision(Revision{known + 1}, Revision{known}, noBytes, at(change * 300)),
                  "always one change behind, never longer than the grace");
    }
}

Test(store, newerRevisionDoesNotExtendTheGrace)
{
    MissedChangeDetector detector(grace);
    cr_assert(!detector.onPeerRevision(Revision{7}, Revision{5}, noBytes, at(0)));
    cr_assert(!detector.onPeerRevision(Revision{8}, Revision{5}, noBytes, at(300)));
    cr_assert(detector.onPeerRevision(Revision{9}, Revision{5}, noBytes, at(500)));
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
        if (detector.onPeerRevision(Revision{7}, arrived ? Revision{7} : Revision{5}, noBytes, at(now))) {
            startedAt = now;
        }
    }
    cr_assert(arrived);
}

// Each restart of a watch whose reply was arriving took the link from the callers and brought the configuration no nearer (incident inc2).
Test(store, aReplyThatIsArrivingIsNotAbandoned)
{
    MissedChangeDetector detector(grace);
    for (int now = 0; now < 10'000; now += 100) {
        cr_assert(!detector.onPeerRevision(Revision{7}, Revision{5}, at(now - 300), at(now)));
    }
    cr_assert(!detector.onPeerRevision(Revision{7}, Revision{5}, at(9'700), at(10'199)));
    cr_assert(detector.onPeerRevision(Revision{7}, Revision{5}, at(9'700), at(10'200)), "it has stalled");
}
