// Compares observations with those that the receiver confirmed.
#include "leadership/observationreport.h"

#include <utility>

namespace cardamomstep::leadership {

std::vector<PrimaryObservation>
ObservationReport::due(const std::vector<PrimaryObservation> &observations, const InstanceName &receiver, bool isLeaseHolder, TimePoint now)
{
    if (receiver != receiver_) {
        receiver_ = receiver;
        process_ = 0;
        confirmed_.clear();
    }
    sent_.clear();
    leftOut_ = false;
    std::vector<PrimaryObservation> due;
    for (const auto &observation : observations) {
        // Two times of the same reply differ by what rounding to milliseconds loses.
        constexpr Milliseconds rounding{2};
        const bool stalled = observation.writesStalledFor.count() > 0;
        const auto repliedAt = observation.sinceLastReply ? std::optional(now - *observation.sinceLastReply) : std::nullopt;
        const auto found = confirmed_.find(observation.group);
        bool changed = found == confirmed_.end();
        if (!changed) {
            const auto &known = found->second;
            changed = known.generation != observation.generation || known.acknowledged != observation.acknowledged;
            const bool repliedSince = repliedAt && (!known.repliedAt || *repliedAt > *known.repliedAt + rounding);
            changed = changed || (isLeaseHolder && (repliedSince || stalled || known.stalled));
        }
        if (!changed) {
            leftOut_ = true;
            continue;
        }
        // Whoever does not evaluate replies and stalls has not taken them either.
        sent_[observation.group] = {
            observation.generation, observation.acknowledged, isLeaseHolder ? repliedAt : std::nullopt, isLeaseHolder && stalled};
        due.push_back(observation);
    }
    return due;
}

bool ObservationReport::onReply(std::uint64_t process)
{
    if (process == 0) {
        // An earlier release, of which a restart is not noticed: everything is repeated.
        confirmed_.clear();
        sent_.clear();
        return true;
    }
    const bool sameProcess = process_ == process || !leftOut_;
    if (process_ != process) {
        process_ = process;
        confirmed_.clear();
    }
    for (auto &[group, reported] : sent_) {
        confirmed_[group] = reported;
    }
    sent_.clear();
    return sameProcess;
}

} // namespace cardamomstep::leadership
