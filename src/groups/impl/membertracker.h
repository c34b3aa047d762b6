// What one owner knows of one member: its last state, its last contact, and outstanding requests.
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

/// Tracks the state of one member.
class MemberTracker
{
public:
    MemberTracker(MemberName name, TimePoint now);

    [[nodiscard]] const MemberName &name() const noexcept;
    [[nodiscard]] const std::optional<MemberReport> &report() const noexcept;
    /// Time of the last contact, or of construction when there was none.
    [[nodiscard]] TimePoint lastContactAt() const noexcept;
    [[nodiscard]] bool everContacted() const noexcept;
    /// When the member's log last changed.
    [[nodiscard]] TimePoint logAdvancedAt() const noexcept;

    /// Records that the primary's log ends at \a primaryLog, and since when this member is behind it.
    void onPrimaryLog(const LogPosition &primaryLog, TimePoint now) noexcept;
    /// Since when this member has been behind the primary without progress while it replies; none when it is not behind.
    [[nodiscard]] std::optional<TimePoint> stalledSince() const noexcept;

    /// Records a report requested at \a sentAt. It always counts as contact; one older than the known state changes nothing else.
    void onState(const MemberReport &report, TimePoint sentAt, TimePoint now);
    /// Records a contact with the member.
    void onContact(TimePoint now) noexcept;
    /// Records a failed exchange and returns when the next report may be requested.
    TimePoint onFailure(const ConnectionFailure &failure, const GroupPolicy &policy, TimePoint now) noexcept;
    /// Discounts a pause of this process: the time without contact is reduced by \a span.
    void discountPause(Microseconds span, TimePoint now) noexcept;

    /// True when the process is known to be down: it refused two connections within GroupPolicy::refusalWindow, without contact since.
    [[nodiscard]] bool isDown() const noexcept;
    /// Time of the first of the counted refusals.
    [[nodiscard]] TimePoint refusedAt() const noexcept;
    /// True when the time without contact has reached GroupPolicy::suspectAfter(\a primary).
    [[nodiscard]] bool silent(const GroupPolicy &policy, bool primary, TimePoint now) const noexcept;

    /// True when a report may be requested now.
    [[nodiscard]] bool reportDue(TimePoint now) const noexcept;
    /// When the next report may be requested; none while one is outstanding.
    [[nodiscard]] std::optional<TimePoint> nextReportAt() const noexcept;
    /// True when the next report must be requested without a wait for a change.
    [[nodiscard]] bool reportAtOnce() const noexcept;
    void reportSent() noexcept;
    /// Ends the outstanding report; the next one may be requested at \a nextAt.
    void reportEnded(TimePoint nextAt) noexcept;

    [[nodiscard]] const std::optional<OutstandingOrder> &order() const noexcept;
    /// True when no order is outstanding and the delay after the last one has passed.
    [[nodiscard]] bool orderAllowed(TimePoint now) const noexcept;
    [[nodiscard]] TimePoint nextOrderAt() const noexcept;
    void orderSent(OutstandingOrder order) noexcept;
    void orderEnded(TimePoint nextAt) noexcept;

    /// Records that the member accepted an order to follow the primary of \a term.
    void followAccepted(const Term &term) noexcept;
    /// True when the member accepted an order to follow the primary of \a term and no exchange has failed since.
    [[nodiscard]] bool follows(const Term &term) const noexcept;

    /// Earliest time of the next follow order.
    TimePoint followAllowedAt;

private:
    [[nodiscard]] bool isNewer(const MemberReport &report, TimePoint sentAt) const noexcept;

    MemberName name_;
    std::optional<MemberReport> report_;
    /// When report_ was received.
    TimePoint reportReceivedAt_;
    TimePoint lastContactAt_;
    TimePoint logAdvancedAt_;
    bool everContacted_ = false;
    /// Since when the log has been behind the primary's; none when it is not behind.
    std::optional<TimePoint> behindSince_;
    /// First contact after the last failure.
    TimePoint recoveredAt_;
    /// Term of the last accepted follow order; none after a failed exchange.
    std::optional<Term> followedTerm_;

    /// Counted refusals since the last contact: at most 2, both within GroupPolicy::refusalWindow.
    unsigned refusals_ = 0;
    TimePoint refusedAt_;

    bool reportOutstanding_ = false;
    /// True when an exchange has failed since the last contact, and until the first contact.
    bool failedSinceContact_ = true;
    TimePoint reportAllowedAt_;
    std::optional<OutstandingOrder> order_;
    TimePoint orderAllowedAt_;
};

} // namespace cardamomstep
