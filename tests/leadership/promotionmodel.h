// One group, the platform that promotes its members, and the lease holders that change its primary, in virtual time.
#pragma once

#include "base/random.h"
#include "leadership/primarychange.h"

#include <map>
#include <string>
#include <vector>

namespace cardamomstep::leadership::test {

/// Plays one primary change under faults that \a seed decides: members that cannot be reached, crash and restart, lost replies of the
/// platform, and lease holders that are lost.
///
/// Members keep the commits that were acknowledged before the change; nobody writes during it.
class PromotionModel
{
public:
    /// Without \a holdersAreLost, one lease holder makes the whole change.
    PromotionModel(std::uint64_t seed, bool holdersAreLost);

    /// Plays until the change has ended, or for `longestPlay`.
    void play();

    /// Says which rule the play has broken; empty if none.
    [[nodiscard]] const std::string &violation() const noexcept
    {
        return violation_;
    }
    /// True if the change has ended with a recorded primary.
    [[nodiscard]] bool ended() const noexcept
    {
        return ended_;
    }
    /// The number of promotions that took effect.
    [[nodiscard]] std::size_t promotions() const noexcept
    {
        return promotions_;
    }
    /// What happened, for a play that broke a rule.
    [[nodiscard]] const std::string &events() const noexcept
    {
        return events_;
    }

private:
    struct Member {
        bool primary = false;
        bool running = true;
        /// The lease holder's path to it works.
        bool reachable = true;
        std::uint64_t term = 1;
        LogPosition received;
        std::uint64_t pausedTerm = 0;
    };
    struct PendingPromotion {
        MemberName member;
        TimePoint effectiveAt;
    };

    void startChange(bool inherited);
    void disturb();
    void takeEffect();
    void replicate();
    void perform(const PrimaryChangeAction &action);
    void perform(const StoreRecord &action);
    void perform(const ListProxies &action);
    void perform(const QuiesceProxy &action);
    void perform(const StopReplication &action);
    void perform(const QueryMember &action);
    void perform(const PromoteMember &action);
    void perform(const DemoteMember &action);
    void perform(const ResumeReplication &action);
    [[nodiscard]] bool chance(std::uint64_t percent);
    [[nodiscard]] std::uint64_t newestTerm() const;
    [[nodiscard]] MemberStatus statusOf(const MemberName &name) const;
    void check(const MemberName &recorded);
    void note(const std::string &event);

    Random random_;
    bool holdersAreLost_;
    TimePoint now_{Milliseconds{1'000'000}};
    std::map<MemberName, Member> members_;
    /// The member that leads by the platform's knowledge.
    MemberName presentPrimary_;
    std::vector<PendingPromotion> pending_;
    GroupRecord record_;
    std::optional<PrimaryChange> change_;
    /// All proxies know what their instances acknowledged.
    bool historyKnown_ = true;
    bool ended_ = false;
    std::size_t promotions_ = 0;
    std::string violation_;
    std::string events_;
};

} // namespace cardamomstep::leadership::test
