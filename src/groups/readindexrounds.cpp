// Read index rounds: start, counting of confirmations, timeout.
#include "groups/readindexrounds.h"

#include "groups/member.h"

#include <algorithm>
#include <utility>

namespace cardamomstep {

namespace {

void addOnce(std::vector<MemberName> &members, const MemberName &member)
{
    if (std::find(members.begin(), members.end(), member) == members.end()) {
        members.push_back(member);
    }
}

} // namespace

ReadIndexRounds::ReadIndexRounds(std::vector<MemberName> members, Milliseconds timeout)
    : members_(std::move(members))
    , timeout_(timeout)
{
}

void ReadIndexRounds::setMembers(std::vector<MemberName> members)
{
    if (inFlight_) {
        finish(false);
    }
    members_ = std::move(members);
}

void ReadIndexRounds::setPrimary(const MemberName &primary, const Term &term)
{
    if (inFlight_ && (term != term_ || primary != primary_)) {
        finish(false);
    }
    primary_ = primary;
    term_ = term;
}

RoundNumber ReadIndexRounds::join(TimePoint now)
{
    if (!readsWaiting_) {
        readsWaiting_ = true;
        waitingSince_ = now;
    }
    return currentRound_ + 1;
}

std::optional<RoundNumber> ReadIndexRounds::begin(TimePoint now)
{
    if (inFlight_ || !readsWaiting_ || primary_.empty()) {
        return std::nullopt;
    }
    ++currentRound_;
    readsWaiting_ = false;
    inFlight_ = true;
    startedAt_ = now;
    confirmed_.clear();
    superseded_.clear();
    primaryLog_.reset();
    return currentRound_;
}

void ReadIndexRounds::onState(const MemberName &member, const Term &adopted, const LogPosition &log, TimePoint sentAt)
{
    const bool known = std::find(members_.begin(), members_.end(), member) != members_.end();
    if (!inFlight_ || !known || sentAt < startedAt_ || adopted < term_) {
        return;
    }
    if (adopted > term_) {
        addOnce(superseded_, member);
        if (member == primary_ || superseded_.size() >= majorityOf(members_.size())) {
            finish(false);
        }
        return;
    }
    addOnce(confirmed_, member);
    // A primary's log always ends at its own term.
    if (member == primary_ && log.term == term_ && !primaryLog_) {
        primaryLog_ = log;
    }
    if (primaryLog_ && confirmed_.size() >= majorityOf(members_.size())) {
        finish(true);
    }
}

std::optional<RoundResult> ReadIndexRounds::takeResult(TimePoint now)
{
    if (inFlight_ && now >= startedAt_ + timeout_) {
        finish(false);
    }
    if (!inFlight_ && readsWaiting_ && primary_.empty() && now >= waitingSince_ + timeout_) {
        ++currentRound_;
        readsWaiting_ = false;
        finish(false);
    }
    if (results_.empty()) {
        return std::nullopt;
    }
    const auto result = results_.front();
    results_.erase(results_.begin());
    return result;
}

std::optional<TimePoint> ReadIndexRounds::nextWake() const noexcept
{
    if (inFlight_) {
        return startedAt_ + timeout_;
    }
    if (readsWaiting_ && primary_.empty()) {
        return waitingSince_ + timeout_;
    }
    return std::nullopt;
}

void ReadIndexRounds::finish(bool leaderConfirmed)
{
    inFlight_ = false;
    results_.push_back(RoundResult{currentRound_, leaderConfirmed, leaderConfirmed ? *primaryLog_ : LogPosition{}});
}

} // namespace cardamomstep
