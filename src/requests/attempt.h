// One write on its way to the primary: sent at most once unless proof allows more, answered truthfully.
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

/// The group's primary, as the groups slice sees it.
struct LeaderView {
    /// Term of the primary; number 0 when there is none.
    Term term;
    /// True once a majority of members has the start entry of this term in its log.
    bool startCovered = false;

    [[nodiscard]] bool operator==(const LeaderView &) const = default;
};

/// Send the request to the primary of \a term.
struct SendWrite {
    Term term;

    [[nodiscard]] bool operator==(const SendWrite &) const = default;
};

/// Ask the primary of \a term for the outcome of the request id, no earlier than \a notBefore.
struct AskOutcome {
    Term term;
    TimePoint notBefore;

    [[nodiscard]] bool operator==(const AskOutcome &) const = default;
};

/// Wait until a majority of members has adopted no higher term than \a mark's and has logs at or beyond \a mark.
struct WaitCoverage {
    Mark mark;

    [[nodiscard]] bool operator==(const WaitCoverage &) const = default;
};

/// Wait for a primary with a term above \a above, or for one of that term whose start entry is covered.
struct WaitPrimary {
    Term above;

    [[nodiscard]] bool operator==(const WaitPrimary &) const = default;
};

/// Answer the caller; the attempt is over.
struct AnswerWrite {
    Ran ran = Ran::Unknown;
    /// Set unless the write is acknowledged.
    std::optional<Error> error;
    /// Entry that holds the effect, when it ran.
    Mark mark;
    std::string rows = "[]";
    std::uint64_t rowCount = 0;
    /// Highest term at which the request was sent and may have run, for an unknown outcome.
    std::optional<Term> sentTerm;

    [[nodiscard]] bool operator==(const AnswerWrite &) const = default;
};

/// The next step of a write.
using WriteStep = std::variant<SendWrite, AskOutcome, WaitCoverage, WaitPrimary, AnswerWrite>;

/// What the caller wants of an attempt.
enum class WriteGoal : std::uint8_t {
    Run, ///< Run the write.
    Ask, ///< Only tell whether a request that was sent earlier ran.
};

/// What a write is and how long it may take.
struct WriteNeed {
    WriteGoal goal = WriteGoal::Run;
    /// For WriteGoal::Ask: the highest term at which the request may have been sent; absent when that is not known.
    std::optional<Term> sentTerm;
    /// Absent for WriteGoal::Ask when the body is not known.
    std::optional<std::uint64_t> fingerprint;
    bool idempotent = false;
    /// A commit: its connection is gone after a failure, so it is never sent twice.
    bool commit = false;
    /// When the answer must have left.
    TimePoint deadline;
    /// Expected time of one exchange with a member.
    Microseconds exchange{8'000};
    /// Kept back from the window for the answer's own way.
    Microseconds answerMargin{2'000};
    /// Pause between two outcome questions.
    Microseconds askPause{20'000};
    /// When a caller should ask for an unknown outcome or come back after a refusal.
    Milliseconds retryAfter{200};
};

/// Carries one write from its arrival to its answer.
///
/// Every input returns the next step. Inputs that do not fit the state return the current step again. The rules:
/// - A write that may have run is not sent again before there is proof that it did not: the request's log entry is absent at a
///   member whose log has an entry of a term above the sent one, and that term's start entry is covered by a majority. Every later
///   primary descends from that start entry, and the members refuse the old term, so the request can never take effect.
/// - `Ran::No` needs that proof, or a refusal, or a failure before the first byte left, for each time it was sent.
/// - Idempotent writes are sent again within their window, while the retry budget lasts.
/// - A write is acknowledged once its entry is covered at the term of the primary that holds it.
/// - Once the window is too short for another step, the attempt answers at once.
class WriteAttempt
{
public:
    WriteAttempt(const WriteNeed &need, RetryBudget &budget) noexcept
        : need_(need)
        , budget_(&budget)
    {
    }

    /// Begins; \a view may have no primary yet.
    [[nodiscard]] WriteStep start(const LeaderView &view, TimePoint now);

    /// The exchange that SendWrite asked for failed.
    ///
    /// Call primaryChanged() first when the primary may have changed meanwhile, so that the same one is not tried again.
    [[nodiscard]] WriteStep sendFailed(const LinkFailure &failure, TimePoint now);

    /// The member replied to what SendWrite sent; the shell has checked the exchange id and that the reply is whole.
    [[nodiscard]] WriteStep replied(const MemberReply &reply, TimePoint now);

    /// \a mark, as WaitCoverage named it, is covered.
    [[nodiscard]] WriteStep covered(const Mark &mark);

    /// Coverage is not expected before \a expected; answers at once when that is too late.
    [[nodiscard]] WriteStep coverageExpected(TimePoint expected, TimePoint now);

    /// The group's primary or its coverage changed.
    [[nodiscard]] WriteStep primaryChanged(const LeaderView &view, TimePoint now);

    /// A member replied to the outcome question.
    [[nodiscard]] WriteStep outcome(const OutcomeReply &reply, TimePoint now);

    /// The outcome question failed.
    [[nodiscard]] WriteStep outcomeFailed(TimePoint now);

    /// Gives up when it is time to; to be called at nextWake().
    [[nodiscard]] WriteStep wake(TimePoint now);

    /// When the attempt answers on its own; nothing once it has answered.
    [[nodiscard]] std::optional<TimePoint> nextWake() const noexcept;

    /// Number of times that SendWrite was returned.
    [[nodiscard]] std::uint32_t sends() const noexcept
    {
        return sends_;
    }

private:
    [[nodiscard]] bool answered() const noexcept;
    [[nodiscard]] bool timeFor(Microseconds span, TimePoint now) const noexcept;
    [[nodiscard]] TimePoint answerBy() const noexcept;
    [[nodiscard]] bool inFlight() const noexcept;
    [[nodiscard]] WriteStep keep(WriteStep step);
    [[nodiscard]] WriteStep sendOrWait(TimePoint now);
    [[nodiscard]] WriteStep sendAgain(Error otherwise, TimePoint now);
    [[nodiscard]] WriteStep waitForNext(const Term &above, ErrorKind kind, TimePoint now);
    [[nodiscard]] WriteStep resolve(TimePoint notBefore, TimePoint now);
    [[nodiscard]] WriteStep hold(const Mark &entry, const Term &leader, TimePoint now);
    [[nodiscard]] WriteStep refusedBy(const MemberReply &reply, TimePoint now);
    [[nodiscard]] WriteStep foundOutcome(const OutcomeReply &reply, TimePoint now);
    [[nodiscard]] WriteStep absentOutcome(const OutcomeReply &reply, TimePoint now);
    [[nodiscard]] bool provesAbsence(const OutcomeReply &reply) const noexcept;
    [[nodiscard]] WriteStep fail(Error error);
    [[nodiscard]] WriteStep failUnknown(std::string why);
    /// What the attempt was waiting for, for people.
    [[nodiscard]] std::string waitingText() const;
    [[nodiscard]] WriteStep giveUp();
    void mayHaveRun(const Term &term) noexcept;

    WriteNeed need_;
    /// Never null.
    RetryBudget *budget_;
    LeaderView view_;
    /// Term of the newest send.
    Term sentTerm_;
    /// Primaries up to this term refused the request or are gone; it is sent to a later one only.
    Term passed_;
    /// What is answered when no later primary comes in time and nothing ran.
    ErrorKind waitingFor_ = ErrorKind::NoPrimary;
    /// Highest term of a send that may have run; absent while none may have.
    std::optional<Term> maybeRan_;
    std::uint32_t sends_ = 0;
    /// What will be answered once it is covered.
    AnswerWrite result_;
    /// The newest step; repeated for inputs that change nothing.
    WriteStep step_ = WaitPrimary{};
};

} // namespace cardamomstep
