// Order and refusals of the statements that wait for a connection.
#include "relay/waitingqueue.h"

#include <algorithm>
#include <array>

namespace cardamomstep::relay {

namespace {

/// Returns true if the answer is expected after the deadline.
bool endsTooLate(const LaneEstimate &estimate, std::size_t ahead, TimePoint deadline, TimePoint now)
{
    return estimate.connections > 0 && now + estimate.waitAfter(ahead) + estimate.timeInSlot > deadline;
}

/// Returns how many statements of each lane were counted before the current one, and counts it.
std::size_t countAhead(std::array<std::size_t, 2> &counts, WaitingLane lane)
{
    return counts.at(static_cast<std::size_t>(lane))++;
}

} // namespace

WaitingDecision WaitingQueue::add(const WaitingStatement &statement, const WaitingTerms &terms, TimePoint now)
{
    insert(statement);
    const auto ranked = ranks(terms, now);
    const auto own = std::find_if(ranked.begin(), ranked.end(), [&](const auto &rank) { return rank.caller == statement.caller; });
    const auto ahead =
        static_cast<std::size_t>(std::count_if(ranked.begin(), own, [&](const auto &rank) { return rank.lane == statement.lane; }));
    const auto &estimate = terms.of(statement.lane);
    if (endsTooLate(estimate, ahead, statement.deadline, now)) {
        remove(statement.caller);
        return {WaitingOutcome::TooLate, std::nullopt};
    }
    if (size() <= terms.maxWaiting) {
        return {};
    }
    const auto last = ranked.back().caller;
    remove(last);
    if (last == statement.caller) {
        return {WaitingOutcome::Full, std::nullopt};
    }
    return {WaitingOutcome::Waiting, last};
}

void WaitingQueue::insert(const WaitingStatement &statement)
{
    remove(statement.caller);
    const LevelKey key{statement.priority, statement.lane};
    auto &level = levels_[key];
    auto &customer = level.customers[statement.customer];
    if (customer.waiting.empty()) {
        customer.turn = std::max(customer.turn, level.lastTurn);
    }
    customer.waiting.push_back(statement);
    places_.emplace(statement.caller, Place{key, statement.customer});
}

void WaitingQueue::remove(CallerKey caller)
{
    take(caller, false);
}

void WaitingQueue::served(CallerKey caller)
{
    take(caller, true);
}

void WaitingQueue::take(CallerKey caller, bool usesTurn)
{
    const auto place = places_.find(caller);
    if (place == places_.end()) {
        return;
    }
    auto &level = levels_.at(place->second.level);
    auto &customer = level.customers.at(place->second.customer);
    const auto found =
        std::find_if(customer.waiting.begin(), customer.waiting.end(), [caller](const auto &entry) { return entry.caller == caller; });
    if (usesTurn && !found->retry) {
        level.lastTurn = std::max(level.lastTurn, customer.turn);
        ++customer.turn;
    }
    customer.waiting.erase(found);
    places_.erase(place);
    // A customer is kept until its next turn has passed; otherwise one that sends statement after statement would always come first.
    std::erase_if(level.customers,
                  [&level](const auto &entry) { return entry.second.waiting.empty() && entry.second.turn <= level.lastTurn; });
    if (places_.empty()) {
        levels_.clear();
    }
}

std::vector<WaitingQueue::Rank> WaitingQueue::ranks(const WaitingTerms &terms, TimePoint now) const
{
    std::vector<Rank> all;
    all.reserve(size());
    for (const auto &[key, level] : levels_) {
        const auto &[priority, lane] = key;
        const auto lateBefore = now + terms.of(lane).timeInSlot;
        for (const auto &[name, customer] : level.customers) {
            auto statements = customer.waiting;
            std::sort(statements.begin(), statements.end(), [lateBefore](const auto &first, const auto &second) {
                const bool firstLate = first.objective < lateBefore;
                const bool secondLate = second.objective < lateBefore;
                return firstLate != secondLate ? secondLate
                                               : std::pair(first.objective, first.caller) < std::pair(second.objective, second.caller);
            });
            auto turns = customer.turn - level.lastTurn;
            for (const auto &entry : statements) {
                // A retry has had its turn.
                const auto own = entry.retry ? turns - 1 : turns++;
                all.push_back({priority, own, entry.objective, entry.caller, lane, entry.deadline});
            }
        }
    }
    std::sort(all.begin(), all.end());
    return all;
}

std::vector<CallerKey> WaitingQueue::order(const WaitingTerms &terms, TimePoint now) const
{
    std::vector<CallerKey> callers;
    callers.reserve(size());
    for (const auto &rank : ranks(terms, now)) {
        callers.push_back(rank.caller);
    }
    return callers;
}

std::vector<CallerKey> WaitingQueue::callers() const
{
    std::vector<CallerKey> all;
    all.reserve(size());
    for (const auto &[caller, place] : places_) {
        all.push_back(caller);
    }
    return all;
}

std::vector<CallerKey> WaitingQueue::tooLate(const WaitingTerms &terms, TimePoint now) const
{
    std::vector<CallerKey> callers;
    std::array<std::size_t, 2> counts{};
    for (const auto &rank : ranks(terms, now)) {
        const auto ahead = countAhead(counts, rank.lane);
        if (endsTooLate(terms.of(rank.lane), ahead, rank.deadline, now)) {
            callers.push_back(rank.caller);
            // What is refused delays nobody.
            --counts.at(static_cast<std::size_t>(rank.lane));
        }
    }
    return callers;
}

Microseconds WaitingQueue::drainTime(const WaitingTerms &terms) const
{
    std::array<std::size_t, 2> counts{};
    for (const auto &[caller, place] : places_) {
        (void)countAhead(counts, place.level.second);
    }
    return std::max(terms.primary.waitAfter(counts[0]), terms.readers.waitAfter(counts[1]));
}

} // namespace cardamomstep::relay
