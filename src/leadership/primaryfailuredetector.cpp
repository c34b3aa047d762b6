// Evaluates the observations of a primary.
#include "leadership/primaryfailuredetector.h"

#include <algorithm>

namespace cardamomstep::leadership {

std::string_view toText(PrimaryChangeReason reason) noexcept
{
    switch (reason) {
    case PrimaryChangeReason::Silent:
        return "silent";
    case PrimaryChangeReason::Stalled:
        return "stalled";
    case PrimaryChangeReason::NotLeading:
        return "denied";
    case PrimaryChangeReason::Leaving:
        return "leaving";
    case PrimaryChangeReason::Unverified:
        return "unverified";
    case PrimaryChangeReason::Resumed:
        break;
    }
    return "resumed";
}

void PrimaryFailureDetector::restart(std::uint64_t generation, TimePoint now)
{
    generation_ = generation;
    startedAt_ = now;
    lastReplyAt_ = now;
    registered_ = false;
    observations_.clear();
    notLeadingSince_.reset();
}

void PrimaryFailureDetector::recordObservation(const InstanceName &proxy, const PrimaryObservation &observation, TimePoint now)
{
    if (observation.generation != generation_) {
        return;
    }
    auto &observed = observations_[proxy];
    observed.at = now;
    observed.repliedAt.reset();
    observed.stalledSince.reset();
    if (observation.sinceLastReply) {
        observed.repliedAt = now - *observation.sinceLastReply;
        lastReplyAt_ = std::max(lastReplyAt_, *observed.repliedAt);
    }
    if (observation.writesStalledFor.count() > 0) {
        observed.stalledSince = now - observation.writesStalledFor;
    }
}

void PrimaryFailureDetector::onProbeReply(bool leads, TimePoint now)
{
    lastReplyAt_ = std::max(lastReplyAt_, now);
    if (leads) {
        notLeadingSince_.reset();
    } else {
        notLeadingSince_ = notLeadingSince_.value_or(now);
    }
}

std::optional<PrimaryChangeReason> PrimaryFailureDetector::evaluate(TimePoint now) const
{
    if (now - lastReplyAt_ >= (registered_ ? limits_.silenceTimeout : limits_.unregisteredSilenceTimeout)) {
        return PrimaryChangeReason::Silent;
    }
    if (notLeadingSince_ && now - *notLeadingSince_ >= limits_.notLeadingTimeout) {
        return PrimaryChangeReason::NotLeading;
    }
    if (now - startedAt_ < limits_.stallCooldown) {
        return std::nullopt;
    }
    bool stalled = false;
    for (const auto &[proxy, observed] : observations_) {
        if (now - observed.at > limits_.maxObservationAge || !observed.stalledSince) {
            continue;
        }
        stalled = stalled || now - *observed.stalledSince >= limits_.stallTimeout;
    }
    return stalled ? std::optional(PrimaryChangeReason::Stalled) : std::nullopt;
}

} // namespace cardamomstep::leadership
