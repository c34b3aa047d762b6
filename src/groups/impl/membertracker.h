// What one owner knows of one member: its last state, its signs of life and what is outstanding with it.
#pragma once

#include "base/time.h"
#include "groups/action.h"
#include "groups/policy.h"
#include "members/member.h"

#include <optional>

namespace cardamomstep {

/// An order that has no reply yet.
struct OutstandingOrder {
    OrderKind kind = OrderKind::Adopt;
    Term term;

    [[nodiscard]] bool operator==(const OutstandingOrder &) const = default;
};

/// State of the watch on one member.
class MemberWatch
{
public:
    MemberWatch(MemberName name, TimePoint now);

    [[nodiscard]] const MemberName &name() const noexcept;
    [[nodiscard]] const std::optional<MemberReport> &report() const noexcept;
    /// Last sign of life, or the start of the watch when there was none.
    [[nodiscard]] TimePoint heardAt() const noexcept;
    [[nodiscard]] bool everHeard() const noexcept;
    /// When its log last changed.
    [[nodiscard]] TimePoint movedAt() const noexcept;

    /// The primary's log ends at \a primaryLog: notes since when this member is behind it.
    void onPrimaryLog(const Mark &primaryLog, TimePoint now) noexcept;
    /// Since when this member has been behind its primary without moving, although it answers; none when it is not behind.
    [[nodiscard]] std::optional<TimePoint> stuckSince() const noexcept;

    /// Takes in a report asked for at \a sentAt; one that is older than the known state changes nothing.
    void onState(const MemberReport &report, TimePoint sentAt, TimePoint now);
    /// The member gave a sign of life.
    void onAlive(TimePoint now) noexcept;
    /// An exchange failed; returns when a report may be asked for again.
    TimePoint onFailure(const LinkFailure &failure, const GroupPolicy &policy, TimePoint now) noexcept;
    /// The observer itself stood still for \a span: silence does not count for that time.
    void forgive(Microseconds span, TimePoint now) noexcept;

    /// True when the process is known to be gone: refused twice in a short time without a sign of life since.
    [[nodiscard]] bool gone() const noexcept;
    /// When the first of the refusals that make it gone came.
    [[nodiscard]] TimePoint refusedAt() const noexcept;
    /// True when a sign of life is overdue by the policy's bound.
    [[nodiscard]] bool silent(const GroupPolicy &policy, bool primary, TimePoint now) const noexcept;

    /// True when a report may be asked for now.
    [[nodiscard]] bool reportDue(TimePoint now) const noexcept;
    /// When the next report may be asked for; none while one is outstanding.
    [[nodiscard]] std::optional<TimePoint> nextReportAt() const noexcept;
    /// True when the next report must come at once rather than wait for a change.
    [[nodiscard]] bool reportAtOnce() const noexcept;
    void reportSent() noexcept;
    /// The outstanding report ended; the next may be asked for at \a nextAt.
    void reportEnded(TimePoint nextAt) noexcept;

    [[nodiscard]] const std::optional<OutstandingOrder> &order() const noexcept;
    /// True when no order is outstanding and the pause after the last one has passed.
    [[nodiscard]] bool orderAllowed(TimePoint now) const noexcept;
    [[nodiscard]] TimePoint nextOrderAt() const noexcept;
    void orderSent(OutstandingOrder order) noexcept;
    void orderEnded(TimePoint nextAt) noexcept;

    /// The member accepted an order to follow the primary of \a term.
    void told(const Term &term) noexcept;
    /// True when it follows the primary of \a term as far as known: it was told, and no exchange failed since.
    [[nodiscard]] bool follows(const Term &term) const noexcept;

    /// When it may be told again to follow.
    TimePoint followAt;

private:
    [[nodiscard]] bool isNews(const MemberReport &report, TimePoint sentAt) const noexcept;

    MemberName name_;
    std::optional<MemberReport> report_;
    /// When report_ was received.
    TimePoint stateAt_;
    TimePoint heardAt_;
    TimePoint movedAt_;
    bool everHeard_ = false;
    std::optional<TimePoint> behindSince_;
    /// First sign of life after the last failure.
    TimePoint backSince_;
    std::optional<Term> toldTerm_;

    /// Refusals since the last sign of life, at most 2 are counted.
    unsigned refusals_ = 0;
    TimePoint refusedAt_;

    bool reportOutstanding_ = false;
    bool failedSinceHeard_ = true;
    TimePoint reportAllowedAt_;
    std::optional<OutstandingOrder> order_;
    TimePoint orderAllowedAt_;
};

} // namespace cardamomstep
