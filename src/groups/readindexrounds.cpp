// Rounds of read checks.
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

LegitimacyRounds::LegitimacyRounds(std::vector<MemberName> members, Milliseconds timeout)
    : members_(std::move(members))
    , timeout_(timeout)
{
}

void LegitimacyRounds::setMembers(std::vector<MemberName> members)
{
    if (inFlight_) {
        finish(false);
    }
    members_ = std::move(members);
}

void LegitimacyRounds::setPrimary(const MemberName &primary, const Term &term)
{
    if (inFlight_ && (term != term_ || primary != primary_)) {
        finish(false);
    }
    primary_ = primary;
    term_ = term;
}

RoundNumber LegitimacyRounds::join(TimePoint now)
{
    if (!waiting_) {
        waiting_ = true;
        waitingSince_ = now;
    }
    return current_ + 1;
}

std::optional<RoundNumber> LegitimacyRounds::begin(TimePoint now)
{
    if (inFlight_ || !waiting_ || primary_.empty()) {
        return std::nullopt;
    }
    ++current_;
    waiting_ = false;
    inFlight_ = true;
    startedAt_ = now;
    confirmed_.clear();
    superseded_.clear();
    primaryLog_.reset();
    return current_;
}

void LegitimacyRounds::onState(const MemberName &member, const Term &adopted, const Mark &log, TimePoint sentAt)
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
    // A primary's log always ends in its own term.
    if (member == primary_ && log.term == term_ && !primaryLog_) {
        primaryLog_ = log;
    }
    if (primaryLog_ && confirmed_.size() >= majorityOf(members_.size())) {
        finish(true);
    }
}

std::optional<RoundResult> LegitimacyRounds::takeResult(TimePoint now)
{
    if (inFlight_ && now >= startedAt_ + timeout_) {
        finish(false);
    }
    if (!inFlight_ && waiting_ && primary_.empty() && now >= waitingSince_ + timeout_) {
        ++current_;
        waiting_ = false;
        finish(false);
    }
    if (results_.empty()) {
        return std::nullopt;
    }
    const auto result = results_.front();
    results_.erase(results_.begin());
    return result;
}

std::optional<TimePoint> LegitimacyRounds::nextWake() const noexcept
{
    if (inFlight_) {
        return startedAt_ + timeout_;
    }
    if (waiting_ && primary_.empty()) {
        return waitingSince_ + timeout_;
    }
    return std::nullopt;
}

void LegitimacyRounds::finish(bool legitimate)
{
    inFlight_ = false;
    results_.push_back(RoundResult{current_, legitimate, legitimate ? *primaryLog_ : Mark{}});
}

} // namespace cardamomstep
