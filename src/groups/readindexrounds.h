// Rounds that confirm a primary as leader, each shared by all reads that wait for it.
#pragma once

#include "base/ids.h"
#include "base/logposition.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace cardamomstep {

/// Number of a round, from 1.
using RoundNumber = std::uint64_t;

/// Result of a finished round for the reads that joined it.
struct RoundResult {
    RoundNumber round = 0;
    /// True when no higher term had been adopted by a majority when the round started.
    bool leaderConfirmed = false;
    /// End of the primary's log at some time after the round's start: a member at or above it is current for these reads.
    LogPosition readPosition;
};

/// Read index rounds of one group, as in Raft.
///
/// A read joins the next round that starts. A round succeeds when a majority that includes the primary has replied, to
/// requests sent after the round's start, with the primary's term as the adopted one. At most one round is in flight; the next
/// starts at once when reads wait.
class ReadIndexRounds
{
public:
    explicit ReadIndexRounds(std::vector<MemberName> members, Milliseconds timeout = Milliseconds{150});

    /// Sets the configured members; a round in flight fails, so its reads must join the next one.
    void setMembers(std::vector<MemberName> members);

    /// Sets the primary to confirm, empty when none is known; a round in flight for another primary or term fails.
    void setPrimary(const MemberName &primary, const Term &term);

    /// Adds a waiting read and returns the round whose result it must wait for.
    [[nodiscard]] RoundNumber join(TimePoint now);

    /// Starts a round if one is due and returns its number. The caller then requests a report of every member at once
    /// (`wait` zero) and passes the replies to onState().
    [[nodiscard]] std::optional<RoundNumber> begin(TimePoint now);

    /// Records the state in any reply to a request sent at \a sentAt; replies to requests from before the round's start are ignored.
    ///
    /// \a log must be the member's last entry at that time, or an entry that was appended for the request itself. The position
    /// in the reply to a repeated write is neither and would make the read position too low.
    void onState(const MemberName &member, const Term &adopted, const LogPosition &log, TimePoint sentAt);

    /// Fails a round whose timeout has passed, then returns the oldest result that was not returned yet, if any.
    [[nodiscard]] std::optional<RoundResult> takeResult(TimePoint now);

    /// When takeResult() must be called next; none when no timeout is running.
    [[nodiscard]] std::optional<TimePoint> nextWake() const noexcept;

private:
    void finish(bool leaderConfirmed);

    std::vector<MemberName> members_;
    Milliseconds timeout_;
    MemberName primary_;
    Term term_;

    /// Round in flight or, when none is, the last one.
    RoundNumber currentRound_ = 0;
    bool inFlight_ = false;
    TimePoint startedAt_;
    /// True when reads wait for round currentRound_ + 1.
    bool readsWaiting_ = false;
    TimePoint waitingSince_;
    /// Members that confirmed the term in this round; each at most once.
    std::vector<MemberName> confirmed_;
    /// Members that reported a higher term in this round; each at most once.
    std::vector<MemberName> superseded_;
    std::optional<LogPosition> primaryLog_;
    /// Results that takeResult() has not returned yet.
    std::vector<RoundResult> results_;
};

} // namespace cardamomstep
