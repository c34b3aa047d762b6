// Weighs the sightings of a primary.
#include "leadership/primaryfailuredetector.h"

#include <algorithm>

namespace cardamomstep::leadership {

std::string_view toText(MoveReason reason) noexcept
{
    switch (reason) {
    case MoveReason::Silent:
        return "silent";
    case MoveReason::Stalled:
        return "stalled";
    case MoveReason::Denied:
        return "denied";
    case MoveReason::Leaving:
        return "leaving";
    case MoveReason::Resumed:
        break;
    }
    return "resumed";
}

void Suspicion::restart(std::uint64_t generation, TimePoint now)
{
    generation_ = generation;
    since_ = now;
    lastAnswer_ = now;
    registered_ = false;
    seen_.clear();
    deniedSince_.reset();
}

void Suspicion::sight(const InstanceName &proxy, const PrimarySighting &sighting, TimePoint now)
{
    if (sighting.generation != generation_) {
        return;
    }
    auto &seen = seen_[proxy];
    seen.at = now;
    seen.answeredAt.reset();
    seen.stalledSince.reset();
    if (sighting.sinceAnswer) {
        seen.answeredAt = now - *sighting.sinceAnswer;
        lastAnswer_ = std::max(lastAnswer_, *seen.answeredAt);
    }
    if (sighting.writesStalled.count() > 0) {
        seen.stalledSince = now - sighting.writesStalled;
    }
}

void Suspicion::probed(bool leads, TimePoint now)
{
    lastAnswer_ = std::max(lastAnswer_, now);
    if (leads) {
        deniedSince_.reset();
    } else {
        deniedSince_ = deniedSince_.value_or(now);
    }
}

std::optional<MoveReason> Suspicion::judge(TimePoint now) const
{
    if (now - lastAnswer_ >= (registered_ ? limits_.silence : limits_.unregisteredSilence)) {
        return MoveReason::Silent;
    }
    if (deniedSince_ && now - *deniedSince_ >= limits_.denial) {
        return MoveReason::Denied;
    }
    if (now - since_ < limits_.stallCooldown) {
        return std::nullopt;
    }
    bool stalled = false;
    for (const auto &[proxy, seen] : seen_) {
        if (now - seen.at > limits_.sightingAge || !seen.stalledSince) {
            continue;
        }
        stalled = stalled || now - *seen.stalledSince >= limits_.stall;
    }
    return stalled ? std::optional(MoveReason::Stalled) : std::nullopt;
}

} // namespace cardamomstep::leadership
