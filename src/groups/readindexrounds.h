// Rounds of checks that a primary is not superseded, shared by all reads that wait for one.
#pragma once

#include "base/ids.h"
#include "base/logposition.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace cardamomstep {

/// Names a round; rounds count up from 1.
using RoundNumber = std::uint64_t;

/// What a finished round says to the reads that joined it.
struct RoundResult {
    RoundNumber round = 0;
    /// True when no higher term had been adopted by a majority when the round began.
    bool legitimate = false;
    /// The primary's last entry at or after the round's start: a member at or above it is current for these reads.
    Mark readMark;
};

/// Read checks of one group.
///
/// A read joins the next round that begins. A round succeeds when a majority with the primary among it gave a reply,
/// asked for after the round began, that shows the primary's term as adopted. At most one round is in flight; the next
/// begins at once when reads wait.
class LegitimacyRounds
{
public:
    explicit LegitimacyRounds(std::vector<MemberName> members, Milliseconds timeout = Milliseconds{150});

    /// Sets the configured members; a round in flight fails, its reads join the next one.
    void setMembers(std::vector<MemberName> members);

    /// Sets the primary that rounds are about; a round in flight about another one fails. An empty name: none is known.
    void setPrimary(const MemberName &primary, const Term &term);

    /// A read arrives: returns the round whose result it waits for.
    [[nodiscard]] RoundNumber join(TimePoint now);

    /// The round that must begin now, if any: ask every member for its report at once (`wait` zero) and pass replies
    /// to onState().
    [[nodiscard]] std::optional<RoundNumber> begin(TimePoint now);

    /// Takes in the state in any reply to something that was sent at \a sentAt; replies to something older than the round are left out.
    ///
    /// \a log must be the member's last entry then, or one that was appended for the request itself: the mark of a repeated
    /// write is neither and would make the read mark too low.
    void onState(const MemberName &member, const Term &adopted, const Mark &log, TimePoint sentAt);

    /// The result of a round that ended, each once.
    [[nodiscard]] std::optional<RoundResult> takeResult(TimePoint now);

    /// When takeResult() must be asked next; none when no round is in flight.
    [[nodiscard]] std::optional<TimePoint> nextWake() const noexcept;

private:
    void finish(bool legitimate);

    std::vector<MemberName> members_;
    Milliseconds timeout_;
    MemberName primary_;
    Term term_;

    /// Round in flight or, when none is, the last one.
    RoundNumber current_ = 0;
    bool inFlight_ = false;
    TimePoint startedAt_;
    /// Reads wait for round current_ + 1.
    bool waiting_ = false;
    TimePoint waitingSince_;
    /// Members that confirmed the term in this round; each at most once.
    std::vector<MemberName> confirmed_;
    /// Members that showed a higher term in this round; each at most once.
    std::vector<MemberName> superseded_;
    std::optional<Mark> primaryLog_;
    /// Ended rounds that were not taken yet.
    std::vector<RoundResult> results_;
};

} // namespace cardamomstep
