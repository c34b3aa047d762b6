// Admission by deadline, service time and guaranteed shares.
#include "requests/admission.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cardamomstep {

namespace {

/// Deviations above the mean service time that must fit before a new request's deadline.
constexpr double acceptanceMargin = 2;

} // namespace

AdmissionQueue::AdmissionQueue(const AdmissionLimits &limits)
    : limits_(limits)
{
    for (auto &lane : lanes_) {
        lane.serviceTime = SmoothedTime{limits.initialServiceTime};
    }
    setShares({});
}

std::vector<AdmissionAction> AdmissionQueue::setSlots(Lane lane, std::uint32_t slots, TimePoint now)
{
    Actions actions;
    auto &state = laneOf(lane);
    accrueCredits(state, now);
    state.slots = std::max(slots, 1U);
    dispatch(state, now, actions);
    return actions;
}

void AdmissionQueue::setShares(const std::vector<ServiceShare> &shares)
{
    const auto oldShares = std::move(shares_);
    shares_ = shares;
    double remainder = 1;
    for (const auto &share : shares) {
        remainder -= share.guaranteed;
    }
    shares_.push_back(ServiceShare{ServiceName{}, std::max(remainder, 0.0)});
    for (auto &lane : lanes_) {
        lane.credits.assign(shares_.size(), static_cast<double>(limits_.maxShareCredit.count()));
        for (auto &waiting : lane.waiting) {
            waiting.share = shareOf(oldShares[waiting.share].service);
        }
        for (auto &running : lane.running) {
            running.share = shareOf(oldShares[running.share].service);
        }
    }
}

std::vector<AdmissionAction> AdmissionQueue::request(const AdmissionRequest &request, TimePoint now)
{
    Actions actions;
    auto &lane = laneOf(request.lane);
    accrueCredits(lane, now);
    expire(lane, now, actions);
    const Waiting candidate{request.ticket, shareOf(request.service), request.deadline};
    if (!fits(lane, candidate, now) || !evictFor(lane, candidate, now, actions)) {
        actions.emplace_back(refuse(lane, request.ticket, now));
        return actions;
    }
    const auto insertAt =
        std::upper_bound(lane.waiting.begin(), lane.waiting.end(), candidate, [](const Waiting &left, const Waiting &right) {
            return left.deadline < right.deadline;
        });
    lane.waiting.insert(insertAt, candidate);
    dispatch(lane, now, actions);
    return actions;
}

std::vector<AdmissionAction> AdmissionQueue::finished(std::uint64_t ticket, TimePoint now)
{
    Actions actions;
    for (auto &lane : lanes_) {
        const auto done =
            std::find_if(lane.running.begin(), lane.running.end(), [&](const Running &running) { return running.ticket == ticket; });
        if (done == lane.running.end()) {
            continue;
        }
        const auto slotTime = now - done->since;
        accrueCredits(lane, now);
        charge(lane, done->share, slotTime);
        lane.serviceTime.observe(slotTime);
        lane.running.erase(done);
        dispatch(lane, now, actions);
        break;
    }
    return actions;
}

std::vector<AdmissionAction> AdmissionQueue::cancel(std::uint64_t ticket, TimePoint now)
{
    for (auto &lane : lanes_) {
        const auto removed =
            std::remove_if(lane.waiting.begin(), lane.waiting.end(), [&](const Waiting &waiting) { return waiting.ticket == ticket; });
        lane.waiting.erase(removed, lane.waiting.end());
    }
    return wake(now);
}

std::vector<AdmissionAction> AdmissionQueue::wake(TimePoint now)
{
    Actions actions;
    for (auto &lane : lanes_) {
        accrueCredits(lane, now);
        dispatch(lane, now, actions);
    }
    return actions;
}

std::optional<TimePoint> AdmissionQueue::nextWake() const noexcept
{
    std::optional<TimePoint> first;
    for (const auto &lane : lanes_) {
        if (lane.waiting.empty()) {
            continue;
        }
        const auto latestStart = lane.waiting.front().deadline - lane.serviceTime.mean();
        first = first ? std::min(*first, latestStart) : latestStart;
    }
    return first;
}

std::uint32_t AdmissionQueue::waiting(Lane lane) const noexcept
{
    return static_cast<std::uint32_t>(laneOf(lane).waiting.size());
}

std::uint32_t AdmissionQueue::running(Lane lane) const noexcept
{
    return static_cast<std::uint32_t>(laneOf(lane).running.size());
}

Microseconds AdmissionQueue::expectedService(Lane lane) const noexcept
{
    return laneOf(lane).serviceTime.withMargin(acceptanceMargin);
}

AdmissionQueue::LaneState &AdmissionQueue::laneOf(Lane lane) noexcept
{
    return lanes_[static_cast<std::size_t>(lane)];
}

const AdmissionQueue::LaneState &AdmissionQueue::laneOf(Lane lane) const noexcept
{
    return lanes_[static_cast<std::size_t>(lane)];
}

std::size_t AdmissionQueue::shareOf(const ServiceName &service) const noexcept
{
    for (std::size_t index = 0; index + 1 < shares_.size(); ++index) {
        if (shares_[index].service == service) {
            return index;
        }
    }
    return shares_.size() - 1;
}

bool AdmissionQueue::inCredit(const LaneState &lane, std::size_t share) const noexcept
{
    return lane.credits[share] > 0;
}

void AdmissionQueue::accrueCredits(LaneState &lane, TimePoint now) const
{
    const auto elapsed = static_cast<double>((now - lane.accruedAt).count()) * lane.slots;
    lane.accruedAt = now;
    const auto maxCredit = static_cast<double>(limits_.maxShareCredit.count());
    for (std::size_t index = 0; index < shares_.size(); ++index) {
        lane.credits[index] = std::min(maxCredit, lane.credits[index] + elapsed * shares_[index].guaranteed);
    }
}

void AdmissionQueue::charge(LaneState &lane, std::size_t share, Microseconds used) const
{
    const auto maxCredit = static_cast<double>(limits_.maxShareCredit.count());
    lane.credits[share] = std::max(-maxCredit, lane.credits[share] - static_cast<double>(used.count()));
}

void AdmissionQueue::expire(LaneState &lane, TimePoint now, Actions &actions) const
{
    const auto mean = lane.serviceTime.mean();
    const auto slots = static_cast<std::int64_t>(lane.slots);
    const bool slotFree = lane.running.size() < lane.slots;
    // Requests of services in credit go first; a request that would start after its deadline is refused now.
    auto preferredStart = slotFree ? now : now + backlog(lane, now) / slots;
    auto otherStart = preferredStart + mean * static_cast<std::int64_t>(preferredWaiting(lane)) / slots;
    const auto cannotFinish = [&](const Waiting &waiting) {
        auto &start = inCredit(lane, waiting.share) ? preferredStart : otherStart;
        const bool tooLate = now + mean >= waiting.deadline || start >= waiting.deadline;
        if (tooLate) {
            actions.emplace_back(refuse(lane, waiting.ticket, now));
        } else {
            start += mean / slots;
        }
        return tooLate;
    };
    lane.waiting.erase(std::remove_if(lane.waiting.begin(), lane.waiting.end(), cannotFinish), lane.waiting.end());
}

void AdmissionQueue::dispatch(LaneState &lane, TimePoint now, Actions &actions) const
{
    expire(lane, now, actions);
    while (!lane.waiting.empty() && lane.running.size() < lane.slots) {
        const auto next = lane.waiting.begin() + static_cast<std::ptrdiff_t>(nextToAdmit(lane));
        lane.running.push_back(Running{next->ticket, next->share, now});
        actions.emplace_back(Admitted{next->ticket});
        lane.waiting.erase(next);
    }
}

std::size_t AdmissionQueue::nextToAdmit(const LaneState &lane) const noexcept
{
    for (std::size_t index = 0; index < lane.waiting.size(); ++index) {
        if (inCredit(lane, lane.waiting[index].share)) {
            return index;
        }
    }
    return 0;
}

std::size_t AdmissionQueue::preferredWaiting(const LaneState &lane) const noexcept
{
    const auto count =
        std::count_if(lane.waiting.begin(), lane.waiting.end(), [&](const Waiting &waiting) { return inCredit(lane, waiting.share); });
    return static_cast<std::size_t>(count);
}

bool AdmissionQueue::evictFor(LaneState &lane, const Waiting &candidate, TimePoint now, Actions &actions) const
{
    if (lane.waiting.size() < limits_.maxWaiting) {
        return true;
    }
    if (!inCredit(lane, candidate.share)) {
        return false;
    }
    const auto last =
        std::find_if(lane.waiting.rbegin(), lane.waiting.rend(), [&](const Waiting &waiting) { return !inCredit(lane, waiting.share); });
    if (last == lane.waiting.rend()) {
        return false;
    }
    actions.emplace_back(refuse(lane, last->ticket, now));
    lane.waiting.erase(std::next(last).base());
    return true;
}

bool AdmissionQueue::fits(const LaneState &lane, const Waiting &candidate, TimePoint now) const
{
    const auto service = lane.serviceTime.withMargin(acceptanceMargin);
    const auto mean = lane.serviceTime.mean();
    if (lane.waiting.empty() && lane.running.size() < lane.slots) {
        return now + service <= candidate.deadline;
    }
    const bool preferred = inCredit(lane, candidate.share);
    const auto slots = static_cast<std::int64_t>(lane.slots);
    auto start = now + backlog(lane, now) / slots;
    auto ownStart = start;
    bool displacesOther = false;
    std::uint32_t ahead = 0;
    const auto schedule = [&](const Waiting &waiting) {
        const bool waitingPreferred = inCredit(lane, waiting.share);
        const bool before = waitingPreferred != preferred ? waitingPreferred : waiting.deadline <= candidate.deadline;
        if (before) {
            ownStart += mean / slots;
            ++ahead;
        } else if (waitingPreferred || !preferred) {
            const bool wasInTime = start + mean <= waiting.deadline;
            displacesOther = displacesOther || (wasInTime && start + mean / slots + mean > waiting.deadline);
        }
        start += mean / slots;
    };
    for (const bool tierInCredit : {true, false}) {
        for (const auto &waiting : lane.waiting) {
            if (inCredit(lane, waiting.share) == tierInCredit) {
                schedule(waiting);
            }
        }
    }
    // The service times of the requests ahead vary independently, so the deviation of their sum grows with the root of their number.
    const auto variation = std::sqrt(1.0 + ahead / static_cast<double>(lane.slots));
    return !displacesOther && ownStart + lane.serviceTime.withMargin(acceptanceMargin * variation) <= candidate.deadline;
}

Microseconds AdmissionQueue::backlog(const LaneState &lane, TimePoint now) const noexcept
{
    const auto mean = lane.serviceTime.mean();
    Microseconds left{0};
    for (const auto &running : lane.running) {
        left += std::max(mean / 4, running.since + mean - now);
    }
    return left;
}

Refused AdmissionQueue::refuse(const LaneState &lane, std::uint64_t ticket, TimePoint now) const
{
    const auto queued = lane.serviceTime.mean() * static_cast<std::int64_t>(lane.waiting.size());
    const auto drainTime = wholeMilliseconds((backlog(lane, now) + queued) / static_cast<std::int64_t>(lane.slots));
    const auto retryAfter = std::clamp(drainTime, limits_.minRetryAfter, limits_.maxRetryAfter);
    return Refused{ticket, Error{ErrorKind::Overloaded, "the request would not finish within its window"}.withRetryAfter(retryAfter)};
}

} // namespace cardamomstep
