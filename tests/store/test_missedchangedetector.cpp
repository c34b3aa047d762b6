// A watch that missed what others know of is found out.
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

Test(store, aWatchThatBringsTheNewsInTimeIsLeftAlone)
{
    MissedNews missed(grace);
    cr_assert(!missed.told(Revision{7}, Revision{5}, at(0)));
    cr_assert(!missed.told(Revision{7}, Revision{5}, at(499)));
    cr_assert(!missed.told(Revision{7}, Revision{7}, at(600)));
}

Test(store, aSilentWatchIsMadeAnewAfterTheGrace)
{
    MissedNews missed(grace);
    cr_assert(!missed.told(Revision{7}, Revision{5}, at(0)));
    cr_assert(missed.told(Revision{7}, Revision{5}, at(500)));
    cr_assert(!missed.told(Revision{7}, Revision{5}, at(600)), "the new watch gets time, too");
    cr_assert(missed.told(Revision{7}, Revision{5}, at(1'000)));
}

Test(store, changesInQuickSuccessionAreNotMissedNews)
{
    MissedNews missed(grace);
    for (int change = 0; change < 20; ++change) {
        const auto known = static_cast<std::uint64_t>(change);
        cr_assert(!missed.told(Revision{known + 1}, Revision{known}, at(change * 300)), "always one behind, never for long");
    }
}

Test(store, newerNewsDoesNotGiveASilentWatchMoreTime)
{
    MissedNews missed(grace);
    cr_assert(!missed.told(Revision{7}, Revision{5}, at(0)));
    cr_assert(!missed.told(Revision{8}, Revision{5}, at(300)));
    cr_assert(missed.told(Revision{9}, Revision{5}, at(500)));
}

Test(store, marksOnlyRise)
{
    CatalogMarks marks{Revision{5}, Revision{9}};
    marks.raise({Revision{7}, Revision{3}});
    cr_assert(marks == (CatalogMarks{Revision{7}, Revision{9}}));
}
