// The at-most-once state machine of one write.
#include "requests/attempt.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace cardamomstep {

namespace {

/// Above every real term: the term at which a request was sent when it is not known.
constexpr Term anyTerm{std::numeric_limits<std::uint64_t>::max(), std::numeric_limits<std::uint64_t>::max()};

} // namespace

WriteStep WriteAttempt::start(const LeaderView &view, TimePoint now)
{
    view_ = view;
    if (need_.goal == WriteGoal::Ask) {
        mayHaveRun(need_.sentTerm.value_or(anyTerm));
        return resolve(now, now);
    }
    return sendOrWait(now);
}

WriteStep WriteAttempt::sendFailed(const ConnectionFailure &failure, TimePoint now)
{
    if (!inFlight()) {
        return step_;
    }
    if (failure.notSent) {
        if (failure.fault == ConnectionFault::Refused && !need_.commit) {
            return waitForNext(sentTerm_, ErrorKind::EndpointUnreachable, now);
        }
        return sendAgain(Error{ErrorKind::EndpointUnreachable, failure.description}, now);
    }
    mayHaveRun(sentTerm_);
    const bool again = need_.idempotent && !need_.commit && timeFor(need_.exchange, now);
    if (again && budget_->take()) {
        return sendOrWait(now);
    }
    return resolve(now, now);
}

WriteStep WriteAttempt::replied(const MemberReply &reply, TimePoint now)
{
    if (!inFlight()) {
        return step_;
    }
    if (reply.refusal) {
        return refusedBy(reply, now);
    }
    if (reply.position.term > sentTerm_) {
        mayHaveRun(sentTerm_);
        return resolve(now, now);
    }
    result_.mark = reply.position;
    result_.rows = reply.rows;
    result_.rowCount = reply.rowCount;
    return hold(reply.position, sentTerm_, now);
}

WriteStep WriteAttempt::covered(const LogPosition &mark)
{
    const auto *waiting = std::get_if<WaitCoverage>(&step_);
    if (waiting == nullptr || waiting->mark != mark) {
        return step_;
    }
    budget_->succeeded();
    result_.ran = Ran::Yes;
    return keep(result_);
}

WriteStep WriteAttempt::coverageExpected(TimePoint expected, TimePoint now)
{
    if (!std::holds_alternative<WaitCoverage>(step_) || std::max(expected, now) < answerBy()) {
        return step_;
    }
    return giveUp();
}

WriteStep WriteAttempt::primaryChanged(const LeaderView &view, TimePoint now)
{
    const bool older = view.term.number != 0 && view.term < std::max(view_.term, passed_);
    if (answered() || older) {
        return step_;
    }
    view_ = view;
    if (view.term.number == 0) {
        return step_;
    }
    if (const auto *waiting = std::get_if<WaitPrimary>(&step_)) {
        if (view.term <= waiting->above) {
            return step_;
        }
        return maybeRan_ ? resolve(now, now) : sendOrWait(now);
    }
    const auto *asking = std::get_if<AskOutcome>(&step_);
    const auto *waiting = std::get_if<WaitCoverage>(&step_);
    const bool askAnew = asking != nullptr && (view.term > asking->term || view.startCovered);
    const bool mayBeLost = waiting != nullptr && view.term > waiting->mark.term;
    return askAnew || mayBeLost ? resolve(now, now) : step_;
}

WriteStep WriteAttempt::outcome(const OutcomeReply &reply, TimePoint now)
{
    if (!std::holds_alternative<AskOutcome>(step_)) {
        return step_;
    }
    return reply.found ? foundOutcome(reply, now) : absentOutcome(reply, now);
}

WriteStep WriteAttempt::outcomeFailed(TimePoint now)
{
    if (!std::holds_alternative<AskOutcome>(step_)) {
        return step_;
    }
    return resolve(now + need_.askPause, now);
}

WriteStep WriteAttempt::wake(TimePoint now)
{
    const auto due = nextWake();
    if (!due || now < *due) {
        return step_;
    }
    return giveUp();
}

std::optional<TimePoint> WriteAttempt::nextWake() const noexcept
{
    if (answered()) {
        return std::nullopt;
    }
    if (std::holds_alternative<WaitPrimary>(step_)) {
        return answerBy() - need_.exchange;
    }
    return answerBy();
}

bool WriteAttempt::answered() const noexcept
{
    return std::holds_alternative<AnswerWrite>(step_);
}

bool WriteAttempt::timeFor(Microseconds span, TimePoint now) const noexcept
{
    return now + span < answerBy();
}

TimePoint WriteAttempt::answerBy() const noexcept
{
    return need_.deadline - need_.answerMargin;
}

bool WriteAttempt::inFlight() const noexcept
{
    return std::holds_alternative<SendStoreWrite>(step_);
}

WriteStep WriteAttempt::keep(WriteStep step)
{
    step_ = std::move(step);
    return step_;
}

WriteStep WriteAttempt::sendOrWait(TimePoint now)
{
    if (!timeFor(need_.exchange, now)) {
        waitingFor_ = sends_ == 0 ? ErrorKind::WindowTooShort : waitingFor_;
        step_ = WaitPrimary{passed_};
        return giveUp();
    }
    if (view_.term.number == 0 || view_.term <= passed_) {
        return keep(WaitPrimary{passed_});
    }
    sentTerm_ = view_.term;
    ++sends_;
    return keep(SendStoreWrite{sentTerm_});
}

WriteStep WriteAttempt::sendAgain(Error otherwise, TimePoint now)
{
    if (maybeRan_) {
        return resolve(now, now);
    }
    if (need_.commit) {
        return fail(Error{ErrorKind::TransactionAborted, "the transaction's connection was lost before the commit was sent"});
    }
    // Each primary is tried once for free; only trying the same one again can multiply load.
    const bool samePrimary = view_.term == sentTerm_;
    if (!timeFor(need_.exchange, now) || (samePrimary && !budget_->take())) {
        return fail(std::move(otherwise));
    }
    return sendOrWait(now);
}

WriteStep WriteAttempt::waitForNext(const Term &above, ErrorKind kind, TimePoint now)
{
    passed_ = std::max(passed_, above);
    waitingFor_ = kind;
    if (maybeRan_) {
        return resolve(now, now);
    }
    return sendOrWait(now);
}

WriteStep WriteAttempt::resolve(TimePoint notBefore, TimePoint now)
{
    if (!timeFor(need_.exchange + (notBefore - now), now)) {
        step_ = WaitPrimary{};
        return giveUp();
    }
    if (view_.term.number == 0) {
        return keep(WaitPrimary{});
    }
    return keep(AskOutcome{view_.term, notBefore});
}

WriteStep WriteAttempt::hold(const LogPosition &entry, const Term &leader, TimePoint now)
{
    mayHaveRun(leader);
    step_ = WaitCoverage{std::max(entry, LogPosition{leader, 0})};
    return timeFor(Microseconds{0}, now) ? step_ : giveUp();
}

WriteStep WriteAttempt::refusedBy(const MemberReply &reply, TimePoint now)
{
    if (maybeRan_) {
        return resolve(now, now);
    }
    switch (*reply.refusal) {
    case Refusal::RequestIdReused:
        return fail(Error{ErrorKind::RequestIdReused, "the request id stands in the log with another body"});
    case Refusal::TransactionUnknown:
        return fail(Error{ErrorKind::TransactionUnknown, reply.description});
    case Refusal::StatementFailed:
        return fail(Error{ErrorKind::StatementFailed, reply.description});
    case Refusal::LowerTerm:
    case Refusal::NotPrimary:
    case Refusal::Leaving:
        break;
    }
    if (need_.commit) {
        return fail(Error{ErrorKind::TransactionAborted, "the primary was superseded before the commit ran"});
    }
    return waitForNext(sentTerm_, ErrorKind::Superseded, now);
}

WriteStep WriteAttempt::foundOutcome(const OutcomeReply &reply, TimePoint now)
{
    const bool leads = reply.report.role == MemberRole::Primary && reply.report.log.term == reply.report.adopted;
    if (!leads || reply.position.term > reply.report.adopted) {
        return resolve(now + need_.askPause, now);
    }
    if (need_.fingerprint && reply.fingerprint != *need_.fingerprint) {
        const bool ours = reply.report.adopted == *maybeRan_ || provesAbsence(reply);
        return fail(
            Error{ErrorKind::RequestIdReused, "the request id stands in the log with another body"}.withRan(ours ? Ran::No : Ran::Unknown));
    }
    result_.mark = reply.position;
    result_.rows = reply.rows;
    result_.rowCount = reply.rowCount;
    return hold(reply.position, reply.report.adopted, now);
}

WriteStep WriteAttempt::absentOutcome(const OutcomeReply &reply, TimePoint now)
{
    if (!provesAbsence(reply)) {
        if (need_.goal == WriteGoal::Ask) {
            return failUnknown("the request is not in the primary's log and may still arrive there");
        }
        const bool again = need_.idempotent && !need_.commit && timeFor(need_.exchange, now);
        return again && budget_->take() ? sendOrWait(now) : resolve(now + need_.askPause, now);
    }
    maybeRan_.reset();
    if (need_.goal == WriteGoal::Ask) {
        result_ = AnswerWrite{};
        result_.ran = Ran::No;
        return keep(result_);
    }
    if (need_.commit) {
        return fail(Error{ErrorKind::TransactionAborted, "the commit did not run before its primary was superseded"});
    }
    waitingFor_ = ErrorKind::Superseded;
    return sendOrWait(now);
}

bool WriteAttempt::provesAbsence(const OutcomeReply &reply) const noexcept
{
    const bool covered = view_.startCovered && reply.report.log.term == view_.term;
    return covered && maybeRan_ && view_.term > *maybeRan_;
}

WriteStep WriteAttempt::fail(Error error)
{
    if (answerRule(error.kind).retryable && !error.retryAfter) {
        error.retryAfter = need_.retryAfter;
    }
    AnswerWrite answer;
    answer.ran = error.ran;
    answer.error = std::move(error);
    if (answer.ran == Ran::Unknown) {
        answer.sentTerm = maybeRan_;
    }
    return keep(std::move(answer));
}

WriteStep WriteAttempt::failUnknown(std::string why)
{
    if (maybeRan_ == anyTerm) {
        maybeRan_.reset();
    }
    return fail(Error{ErrorKind::OutcomeUnknown, std::move(why)});
}

std::string WriteAttempt::waitingText() const
{
    if (const auto *waiting = std::get_if<WaitCoverage>(&step_)) {
        return "a majority was not seen to hold " + toText(waiting->mark);
    }
    if (const auto *asking = std::get_if<AskOutcome>(&step_)) {
        return "the primary of term " + toText(asking->term) + " did not tell it";
    }
    return inFlight() ? "the primary did not reply" : "there was no primary to ask";
}

WriteStep WriteAttempt::giveUp()
{
    if (inFlight()) {
        mayHaveRun(sentTerm_);
    }
    if (maybeRan_) {
        return failUnknown("the window ended before the outcome was known: " + waitingText());
    }
    return fail(Error{waitingFor_, "the window ended before the request could run"});
}

void WriteAttempt::mayHaveRun(const Term &term) noexcept
{
    maybeRan_ = std::max(maybeRan_.value_or(Term{}), term);
}

} // namespace cardamomstep
