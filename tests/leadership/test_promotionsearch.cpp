// Plays primary changes under random faults, in search of a recorded primary beside a promoted member, or of lost commits.
#include "promotionmodel.h"
#include "search.h"

#include <criterion/criterion.h>

#include <cstdio>

using namespace cardamomstep::leadership::test;

namespace {

void playAll(bool holdersAreLost)
{
    const auto plays = numberFromEnvironment("PROMOTION_PLAYS", 20'000);
    const auto firstSeed = numberFromEnvironment("PROMOTION_FIRST_SEED", 1);
    std::size_t ended = 0;
    std::size_t promotions = 0;
    for (std::size_t seed = firstSeed; seed < firstSeed + plays; ++seed) {
        PromotionModel model(seed, holdersAreLost);
        model.play();
        cr_assert(model.violation().empty(), "seed %zu: %s\n%s", seed, model.violation().c_str(), model.events().c_str());
        ended += model.ended() ? 1 : 0;
        promotions += model.promotions();
    }
    std::printf("promotion search: %zu plays, %zu ended, %zu promotions\n", plays, ended, promotions);
    cr_assert(ended > plays * 9 / 10, "only %zu of %zu changes ended", ended, plays);
}

} // namespace

// The old primary was recorded again beside a promoted member that the lease holder could not reach.
Test(promotionsearch, noPrimaryIsRecordedBesideAPromotedMember)
{
    playAll(false);
}

// A lease holder was lost after it had promoted a member, or two, that its successor could not reach.
Test(promotionsearch, noPrimaryIsRecordedBesideAMemberThatALostLeaseHolderPromoted)
{
    playAll(true);
}
