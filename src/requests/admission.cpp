// Admission by deadline, service time and shares.
#include "requests/admission.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cardamomstep {

namespace {

/// Deviations above the mean that a new request must have room for.
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
    settleCredits(state, now);
    state.slots = std::max(slots, 1U);
    dispatch(state, now, actions);
    return actions;
}

void AdmissionQueue::setShares(const std::vector<ServiceShare> &shares)
{
    const auto before = std::move(shares_);
    shares_ = shares;
    double rest = 1;
    for (const auto &share : shares) {
        rest -= share.guaranteed;
    }
    shares_.push_back(ServiceShare{ServiceName{}, std::max(rest, 0.0)});
    for (auto &lane : lanes_) {
        lane.credits.assign(shares_.size(), static_cast<double>(limits_.maxShareCredit.count()));
        for (auto &waiting : lane.waiting) {
            waiting.share = shareOf(before[waiting.share].service);
        }
        for (auto &running : lane.running) {
            running.share = shareOf(before[running.share].service);
        }
    }
}

std::vector<AdmissionAction> AdmissionQueue::request(const AdmissionRequest &request, TimePoint now)
{
    Actions actions;
    auto &lane = laneOf(request.lane);
    settleCredits(lane, now);
    expire(lane, now, actions);
    const Waiting candidate{request.ticket, shareOf(request.service), request.deadline};
    if (!fits(lane, candidate, now) || !evictFor(lane, candidate, now, actions)) {
        actions.emplace_back(refuse(lane, request.ticket, now));
        return actions;
    }
    const auto place = std::upper_bound(lane.waiting.begin(), lane.waiting.end(), candidate, [](const Waiting &left, const Waiting &right) {
        return left.deadline < right.deadline;
    });
    lane.waiting.insert(place, candidate);
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
        const auto held = now - done->since;
        settleCredits(lane, now);
        charge(lane, done->share, held);
        lane.serviceTime.observe(held);
        lane.running.erase(done);
        dispatch(lane, now, actions);
        break;
    }
    return actions;
}

std::vector<AdmissionAction> AdmissionQueue::cancel(std::uint64_t ticket, TimePoint now)
{
    for (auto &lane : lanes_) {
        const auto gone =
            std::remove_if(lane.waiting.begin(), lane.waiting.end(), [&](const Waiting &waiting) { return waiting.ticket == ticket; });
        lane.waiting.erase(gone, lane.waiting.end());
    }
    return wake(now);
}

std::vector<AdmissionAction> AdmissionQueue::wake(TimePoint now)
{
    Actions actions;
    for (auto &lane : lanes_) {
        settleCredits(lane, now);
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

void AdmissionQueue::settleCredits(LaneState &lane, TimePoint now) const
{
    const auto passed = static_cast<double>((now - lane.settledAt).count()) * lane.slots;
    lane.settledAt = now;
    const auto most = static_cast<double>(limits_.maxShareCredit.count());
    for (std::size_t index = 0; index < shares_.size(); ++index) {
        lane.credits[index] = std::min(most, lane.credits[index] + passed * shares_[index].guaranteed);
    }
}

void AdmissionQueue::charge(LaneState &lane, std::size_t share, Microseconds used) const
{
    const auto most = static_cast<double>(limits_.maxShareCredit.count());
    lane.credits[share] = std::max(-most, lane.credits[share] - static_cast<double>(used.count()));
}

void AdmissionQueue::expire(LaneState &lane, TimePoint now, Actions &actions) const
{
    const auto mean = lane.serviceTime.mean();
    const auto slots = static_cast<std::int64_t>(lane.slots);
    const bool slotFree = lane.running.size() < lane.slots;
    // Those in credit go first; a request whose turn would come after its deadline is told so now.
    auto preferredStart = slotFree ? now : now + backlog(lane, now) / slots;
    auto lentStart = preferredStart + mean * static_cast<std::int64_t>(preferredWaiting(lane)) / slots;
    const auto hopeless = [&](const Waiting &waiting) {
        auto &start = inCredit(lane, waiting.share) ? preferredStart : lentStart;
        const bool tooLate = now + mean >= waiting.deadline || start >= waiting.deadline;
        if (tooLate) {
            actions.emplace_back(refuse(lane, waiting.ticket, now));
        } else {
            start += mean / slots;
        }
        return tooLate;
    };
    lane.waiting.erase(std::remove_if(lane.waiting.begin(), lane.waiting.end(), hopeless), lane.waiting.end());
}

void AdmissionQueue::dispatch(LaneState &lane, TimePoint now, Actions &actions) const
{
    expire(lane, now, actions);
    while (!lane.waiting.empty() && lane.running.size() < lane.slots) {
        const auto next = lane.waiting.begin() + static_cast<std::ptrdiff_t>(nextInLine(lane));
        lane.running.push_back(Running{next->ticket, next->share, now});
        actions.emplace_back(Admitted{next->ticket});
        lane.waiting.erase(next);
    }
}

std::size_t AdmissionQueue::nextInLine(const LaneState &lane) const noexcept
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
    bool pushesOut = false;
    std::uint32_t ahead = 0;
    const auto take = [&](const Waiting &waiting) {
        const bool waitingPreferred = inCredit(lane, waiting.share);
        const bool before = waitingPreferred != preferred ? waitingPreferred : waiting.deadline <= candidate.deadline;
        if (before) {
            ownStart += mean / slots;
            ++ahead;
        } else if (waitingPreferred || !preferred) {
            const bool madeIt = start + mean <= waiting.deadline;
            pushesOut = pushesOut || (madeIt && start + mean / slots + mean > waiting.deadline);
        }
        start += mean / slots;
    };
    for (const bool tier : {true, false}) {
        for (const auto &waiting : lane.waiting) {
            if (inCredit(lane, waiting.share) == tier) {
                take(waiting);
            }
        }
    }
    // The times of those ahead vary independently, so their sum varies by the root of their number.
    const auto spread = std::sqrt(1.0 + ahead / static_cast<double>(lane.slots));
    return !pushesOut && ownStart + lane.serviceTime.withMargin(acceptanceMargin * spread) <= candidate.deadline;
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
    const auto drained = wholeMilliseconds((backlog(lane, now) + queued) / static_cast<std::int64_t>(lane.slots));
    const auto retryAfter = std::clamp(drained, limits_.minRetryAfter, limits_.maxRetryAfter);
    return Refused{ticket, Error{ErrorKind::Overloaded, "the request would not finish within its window"}.withRetryAfter(retryAfter)};
}

} // namespace cardamomstep
