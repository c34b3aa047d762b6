// One write to the primary: sent again only when it provably did not run or is idempotent, and answered only with what is proved.
#pragma once

#include "base/error.h"
#include "base/ids.h"
#include "base/logposition.h"
#include "base/time.h"
#include "members/member.h"
#include "requests/fwd.h"
#include "requests/retrybudget.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace cardamomstep {

/// The group's primary, as the groups module knows it.
struct LeaderInfo {
    /// Term of the primary; number 0 when there is none.
    Term term;
    /// True once the term's start entry, the first one that its primary appends, is in the logs of a majority of members.
    bool startReplicated = false;

    [[nodiscard]] bool operator==(const LeaderInfo &) const = default;
};

/// Send the request to the primary of `term`.
struct SendWrite {
    Term term;

    [[nodiscard]] bool operator==(const SendWrite &) const = default;
};

/// Query the primary of `term` for the outcome of the request id, no earlier than `notBefore`.
struct QueryOutcome {
    Term term;
    TimePoint notBefore;

    [[nodiscard]] bool operator==(const QueryOutcome &) const = default;
};

/// Wait until a majority of members has adopted no higher term than that of `position` and has logs at or beyond `position`.
struct WaitQuorum {
    LogPosition position;

    [[nodiscard]] bool operator==(const WaitQuorum &) const = default;
};

/// Wait for a primary with a term above `above`.
struct WaitPrimary {
    Term above;

    [[nodiscard]] bool operator==(const WaitPrimary &) const = default;
};

/// Answer the caller; the attempt has ended.
struct AnswerWrite {
    Ran ran = Ran::Unknown;
    /// Set unless the write is acknowledged.
    std::optional<Error> error;
    /// The log entry that holds the effect, when it ran.
    LogPosition position;
    std::string rows = "[]";
    std::uint64_t rowCount = 0;
    /// Highest term at which the request was sent and may have run, for an unknown outcome.
    std::optional<Term> sentTerm;

    [[nodiscard]] bool operator==(const AnswerWrite &) const = default;
};

/// The next step of a write.
using WriteStep = std::variant<SendWrite, QueryOutcome, WaitQuorum, WaitPrimary, AnswerWrite>;

/// The purpose of an attempt.
enum class WriteGoal : std::uint8_t {
    Run, ///< Run the write.
    QueryOutcome, ///< Only determine whether a request that was sent earlier ran.
};

/// The properties of a write and its time limits.
struct WriteRequirements {
    WriteGoal goal = WriteGoal::Run;
    /// For WriteGoal::QueryOutcome: the highest term at which the request may have been sent; absent when that is not known.
    std::optional<Term> sentTerm;
    /// Absent for WriteGoal::QueryOutcome when the body is not known.
    std::optional<std::uint64_t> fingerprint;
    bool idempotent = false;
    /// A commit: its connection is closed after a failure, so it is never sent twice.
    bool commit = false;
    /// The time by which the answer must have left.
    TimePoint deadline;
    /// Expected time of one exchange with a member.
    Microseconds exchangeTime{8'000};
    /// Time reserved in the window for the answer's return path.
    Microseconds answerMargin{2'000};
    /// Time between two outcome queries.
    Microseconds outcomeQueryInterval{20'000};
    /// Retry-after of errors without one of their own: when to query an unknown outcome, or to repeat a refused request.
    Milliseconds retryAfter{200};
};

/// Drives one write from its arrival to its answer.
///
/// Every input returns the next step. Inputs that do not apply to the state return the current step again. The rules:
/// - A write that may have run is not sent again before there is proof that it did not: the request's log entry is absent at a
///   member whose log has an entry of a term above the sent one, and that term's start entry is replicated to a majority. Every later
///   primary's log contains that start entry, and the members refuse the old term, so the request can never take effect.
/// - `Ran::No` needs that proof, or a refusal, or a failure before the first byte left, for each time it was sent.
/// - Idempotent writes are sent again within their window, while the retry budget lasts.
/// - A write is acknowledged once its entry is replicated to a majority at the term of the primary that holds it.
/// - Once the window is too short for another step, the attempt answers at once.
class WriteAttempt
{
public:
    WriteAttempt(const WriteRequirements &requirements, RetryBudget &budget) noexcept
        : requirements_(requirements)
        , budget_(&budget)
    {
    }

    /// Starts the attempt; \a leader may have no primary yet.
    [[nodiscard]] WriteStep start(const LeaderInfo &leader, TimePoint now);

    /// Handles the failure of the exchange that SendWrite requested.
    ///
    /// Call primaryChanged() first when the primary may have changed meanwhile, so that the same one is not tried again.
    [[nodiscard]] WriteStep sendFailed(const ConnectionFailure &failure, TimePoint now);

    /// Handles the member's reply to SendWrite; the I/O layer has checked the exchange id and that the reply is complete.
    [[nodiscard]] WriteStep replied(const MemberReply &reply, TimePoint now);

    /// Records that \a position, as requested by WaitQuorum, is replicated to a majority.
    [[nodiscard]] WriteStep replicated(const LogPosition &position);

    /// Records that replication is not expected before \a expected; answers at once when that is too late.
    [[nodiscard]] WriteStep replicationExpected(TimePoint expected, TimePoint now);

    /// Records a change of the group's primary or of LeaderInfo::startReplicated.
    [[nodiscard]] WriteStep primaryChanged(const LeaderInfo &leader, TimePoint now);

    /// Handles a member's reply to the outcome query.
    [[nodiscard]] WriteStep onOutcome(const OutcomeReply &reply, TimePoint now);

    /// Handles the failure of the outcome query.
    [[nodiscard]] WriteStep onOutcomeFailed(TimePoint now);

    /// Answers when the window has ended. To be called at nextWake().
    [[nodiscard]] WriteStep wake(TimePoint now);

    /// The time at which the attempt answers without further input; nothing once it has answered.
    [[nodiscard]] std::optional<TimePoint> nextWake() const noexcept;

    /// The number of SendWrite steps so far.
    [[nodiscard]] std::uint32_t sends() const noexcept
    {
        return sends_;
    }

private:
    [[nodiscard]] bool answered() const noexcept;
    [[nodiscard]] bool hasTimeFor(Microseconds span, TimePoint now) const noexcept;
    [[nodiscard]] TimePoint answerBy() const noexcept;
    [[nodiscard]] bool inFlight() const noexcept;
    [[nodiscard]] WriteStep setStep(WriteStep step);
    [[nodiscard]] WriteStep sendOrWait(TimePoint now);
    [[nodiscard]] WriteStep sendAgain(Error unsentError, TimePoint now);
    [[nodiscard]] WriteStep waitForNewerPrimary(const Term &above, ErrorKind kind, TimePoint now);
    [[nodiscard]] WriteStep resolve(TimePoint notBefore, TimePoint now);
    [[nodiscard]] WriteStep awaitQuorum(const LogPosition &entry, const Term &leader, TimePoint now);
    [[nodiscard]] WriteStep onRefused(const MemberReply &reply, TimePoint now);
    [[nodiscard]] WriteStep onOutcomeFound(const OutcomeReply &reply, TimePoint now);
    [[nodiscard]] WriteStep onOutcomeAbsent(const OutcomeReply &reply, TimePoint now);
    [[nodiscard]] bool provesAbsence(const OutcomeReply &reply) const noexcept;
    [[nodiscard]] WriteStep fail(Error error);
    [[nodiscard]] WriteStep failUnknown(std::string reason);
    /// Describes the current wait, for error messages.
    [[nodiscard]] std::string describeWait() const;
    [[nodiscard]] WriteStep giveUp();
    void recordMaybeRan(const Term &term) noexcept;

    WriteRequirements requirements_;
    /// Never null.
    RetryBudget *budget_;
    LeaderInfo leader_;
    /// Term of the newest send.
    Term sentTerm_;
    /// Primaries up to this term refused the request or are down; it is only sent to a later one.
    Term refusedUpTo_;
    /// The error of the answer when the window ends and nothing ran.
    ErrorKind errorIfNotRun_ = ErrorKind::NoPrimary;
    /// Highest term of a send that may have run; absent while none may have.
    std::optional<Term> maybeRanTerm_;
    std::uint32_t sends_ = 0;
    /// The answer once the write is replicated.
    AnswerWrite result_;
    /// The current step; returned again for inputs that change nothing.
    WriteStep step_ = WaitPrimary{};
};

} // namespace cardamomstep
