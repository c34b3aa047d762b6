// The at-most-once state machine of one write.
#include "requests/attempt.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace cardamomstep {

namespace {

/// Greater than every real term; used when the term at which a request was sent is not known.
constexpr Term anyTerm{std::numeric_limits<std::uint64_t>::max(), std::numeric_limits<std::uint64_t>::max()};

} // namespace

WriteStep WriteAttempt::start(const LeaderInfo &leader, TimePoint now)
{
    leader_ = leader;
    if (requirements_.goal == WriteGoal::QueryOutcome) {
        recordMaybeRan(requirements_.sentTerm.value_or(anyTerm));
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
        if (failure.fault == ConnectionFault::Refused && !requirements_.commit) {
            return waitForNewerPrimary(sentTerm_, ErrorKind::EndpointUnreachable, now);
        }
        return sendAgain(Error{ErrorKind::EndpointUnreachable, failure.description}, now);
    }
    recordMaybeRan(sentTerm_);
    const bool mayResend = requirements_.idempotent && !requirements_.commit && hasTimeFor(requirements_.exchangeTime, now);
    if (mayResend && budget_->take()) {
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
        return onRefused(reply, now);
    }
    if (reply.position.term > sentTerm_) {
        recordMaybeRan(sentTerm_);
        return resolve(now, now);
    }
    result_.position = reply.position;
    result_.rows = reply.rows;
    result_.rowCount = reply.rowCount;
    return awaitQuorum(reply.position, sentTerm_, now);
}

WriteStep WriteAttempt::replicated(const LogPosition &position)
{
    const auto *waiting = std::get_if<WaitQuorum>(&step_);
    if (waiting == nullptr || waiting->position != position) {
        return step_;
    }
    budget_->succeeded();
    result_.ran = Ran::Yes;
    return setStep(result_);
}

WriteStep WriteAttempt::replicationExpected(TimePoint expected, TimePoint now)
{
    if (!std::holds_alternative<WaitQuorum>(step_) || std::max(expected, now) < answerBy()) {
        return step_;
    }
    return giveUp();
}

WriteStep WriteAttempt::primaryChanged(const LeaderInfo &leader, TimePoint now)
{
    const bool older = leader.term.number != 0 && leader.term < std::max(leader_.term, refusedUpTo_);
    if (answered() || older) {
        return step_;
    }
    leader_ = leader;
    if (leader.term.number == 0) {
        return step_;
    }
    if (const auto *waiting = std::get_if<WaitPrimary>(&step_)) {
        if (leader.term <= waiting->above) {
            return step_;
        }
        return maybeRanTerm_ ? resolve(now, now) : sendOrWait(now);
    }
    const auto *query = std::get_if<QueryOutcome>(&step_);
    const auto *waiting = std::get_if<WaitQuorum>(&step_);
    const bool queryAgain = query != nullptr && (leader.term > query->term || leader.startReplicated);
    const bool mayBeLost = waiting != nullptr && leader.term > waiting->position.term;
    return queryAgain || mayBeLost ? resolve(now, now) : step_;
}

WriteStep WriteAttempt::onOutcome(const OutcomeReply &reply, TimePoint now)
{
    if (!std::holds_alternative<QueryOutcome>(step_)) {
        return step_;
    }
    return reply.found ? onOutcomeFound(reply, now) : onOutcomeAbsent(reply, now);
}

WriteStep WriteAttempt::onOutcomeFailed(TimePoint now)
{
    if (!std::holds_alternative<QueryOutcome>(step_)) {
        return step_;
    }
    return resolve(now + requirements_.outcomeQueryInterval, now);
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
        return answerBy() - requirements_.exchangeTime;
    }
    return answerBy();
}

bool WriteAttempt::answered() const noexcept
{
    return std::holds_alternative<AnswerWrite>(step_);
}

bool WriteAttempt::hasTimeFor(Microseconds span, TimePoint now) const noexcept
{
    return now + span < answerBy();
}

TimePoint WriteAttempt::answerBy() const noexcept
{
    return requirements_.deadline - requirements_.answerMargin;
}

bool WriteAttempt::inFlight() const noexcept
{
    return std::holds_alternative<SendWrite>(step_);
}

WriteStep WriteAttempt::setStep(WriteStep step)
{
    step_ = std::move(step);
    return step_;
}

WriteStep WriteAttempt::sendOrWait(TimePoint now)
{
    if (!hasTimeFor(requirements_.exchangeTime, now)) {
        errorIfNotRun_ = sends_ == 0 ? ErrorKind::WindowTooShort : errorIfNotRun_;
        step_ = WaitPrimary{refusedUpTo_};
        return giveUp();
    }
    if (leader_.term.number == 0 || leader_.term <= refusedUpTo_) {
        return setStep(WaitPrimary{refusedUpTo_});
    }
    sentTerm_ = leader_.term;
    ++sends_;
    return setStep(SendWrite{sentTerm_});
}

WriteStep WriteAttempt::sendAgain(Error unsentError, TimePoint now)
{
    if (maybeRanTerm_) {
        return resolve(now, now);
    }
    if (requirements_.commit) {
        return fail(Error{ErrorKind::TransactionAborted, "the transaction's connection was lost before the commit was sent"});
    }
    // The first send to each primary needs no retry budget; only repeated sends to the same one can multiply its load.
    const bool toSamePrimary = leader_.term == sentTerm_;
    if (!hasTimeFor(requirements_.exchangeTime, now) || (toSamePrimary && !budget_->take())) {
        return fail(std::move(unsentError));
    }
    return sendOrWait(now);
}

WriteStep WriteAttempt::waitForNewerPrimary(const Term &above, ErrorKind kind, TimePoint now)
{
    refusedUpTo_ = std::max(refusedUpTo_, above);
    errorIfNotRun_ = kind;
    if (maybeRanTerm_) {
        return resolve(now, now);
    }
    return sendOrWait(now);
}

WriteStep WriteAttempt::resolve(TimePoint notBefore, TimePoint now)
{
    if (!hasTimeFor(requirements_.exchangeTime + (notBefore - now), now)) {
        step_ = WaitPrimary{};
        return giveUp();
    }
    if (leader_.term.number == 0) {
        return setStep(WaitPrimary{});
    }
    return setStep(QueryOutcome{leader_.term, notBefore});
}

WriteStep WriteAttempt::awaitQuorum(const LogPosition &entry, const Term &leader, TimePoint now)
{
    recordMaybeRan(leader);
    step_ = WaitQuorum{std::max(entry, LogPosition{leader, 0})};
    return hasTimeFor(Microseconds{0}, now) ? step_ : giveUp();
}

WriteStep WriteAttempt::onRefused(const MemberReply &reply, TimePoint now)
{
    if (maybeRanTerm_) {
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
    if (requirements_.commit) {
        return fail(Error{ErrorKind::TransactionAborted, "the primary was superseded before the commit ran"});
    }
    return waitForNewerPrimary(sentTerm_, ErrorKind::Superseded, now);
}

WriteStep WriteAttempt::onOutcomeFound(const OutcomeReply &reply, TimePoint now)
{
    const bool leads = reply.report.role == MemberRole::Primary && reply.report.log.term == reply.report.adopted;
    if (!leads || reply.position.term > reply.report.adopted) {
        return resolve(now + requirements_.outcomeQueryInterval, now);
    }
    if (requirements_.fingerprint && reply.fingerprint != *requirements_.fingerprint) {
        const bool knownNotRun = reply.report.adopted == *maybeRanTerm_ || provesAbsence(reply);
        return fail(Error{ErrorKind::RequestIdReused, "the request id stands in the log with another body"}.withRan(
            knownNotRun ? Ran::No : Ran::Unknown));
    }
    result_.position = reply.position;
    result_.rows = reply.rows;
    result_.rowCount = reply.rowCount;
    return awaitQuorum(reply.position, reply.report.adopted, now);
}

WriteStep WriteAttempt::onOutcomeAbsent(const OutcomeReply &reply, TimePoint now)
{
    if (!provesAbsence(reply)) {
        if (requirements_.goal == WriteGoal::QueryOutcome) {
            return failUnknown("the request is not in the primary's log and may still arrive there");
        }
        const bool mayResend = requirements_.idempotent && !requirements_.commit && hasTimeFor(requirements_.exchangeTime, now);
        return mayResend && budget_->take() ? sendOrWait(now) : resolve(now + requirements_.outcomeQueryInterval, now);
    }
    maybeRanTerm_.reset();
    if (requirements_.goal == WriteGoal::QueryOutcome) {
        result_ = AnswerWrite{};
        result_.ran = Ran::No;
        return setStep(result_);
    }
    if (requirements_.commit) {
        return fail(Error{ErrorKind::TransactionAborted, "the commit did not run before its primary was superseded"});
    }
    errorIfNotRun_ = ErrorKind::Superseded;
    return sendOrWait(now);
}

bool WriteAttempt::provesAbsence(const OutcomeReply &reply) const noexcept
{
    const bool newTermReplicated = leader_.startReplicated && reply.report.log.term == leader_.term;
    return newTermReplicated && maybeRanTerm_ && leader_.term > *maybeRanTerm_;
}

WriteStep WriteAttempt::fail(Error error)
{
    if (answerRule(error.kind).retryable && !error.retryAfter) {
        error.retryAfter = requirements_.retryAfter;
    }
    AnswerWrite answer;
    answer.ran = error.ran;
    answer.error = std::move(error);
    if (answer.ran == Ran::Unknown) {
        answer.sentTerm = maybeRanTerm_;
    }
    return setStep(std::move(answer));
}

WriteStep WriteAttempt::failUnknown(std::string reason)
{
    if (maybeRanTerm_ == anyTerm) {
        maybeRanTerm_.reset();
    }
    return fail(Error{ErrorKind::OutcomeUnknown, std::move(reason)});
}

std::string WriteAttempt::describeWait() const
{
    if (const auto *waiting = std::get_if<WaitQuorum>(&step_)) {
        return "replication to a quorum was not confirmed for log position " + toText(waiting->position);
    }
    if (const auto *query = std::get_if<QueryOutcome>(&step_)) {
        return "the primary of term " + toText(query->term) + " did not report the outcome";
    }
    return inFlight() ? "the primary did not reply" : "there was no primary to query";
}

WriteStep WriteAttempt::giveUp()
{
    if (inFlight()) {
        recordMaybeRan(sentTerm_);
    }
    if (maybeRanTerm_) {
        return failUnknown("the window ended before the outcome was known: " + describeWait());
    }
    return fail(Error{errorIfNotRun_, "the window ended before the request could run"});
}

void WriteAttempt::recordMaybeRan(const Term &term) noexcept
{
    maybeRanTerm_ = std::max(maybeRanTerm_.value_or(Term{}), term);
}

} // namespace cardamomstep
