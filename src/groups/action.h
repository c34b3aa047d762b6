// The actions that a group's monitor requests from its I/O layer.
#pragma once

#include "base/ids.h"
#include "base/logposition.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace cardamomstep {

/// The orders that change a member's term or role.
enum class OrderKind : std::uint8_t {
    Adopt,
    Lead,
    Follow,
};

/// Why a group gets a new primary.
enum class PromotionReason : std::uint8_t {
    Observed, ///< Another owner promoted; this one observed the result.
    Bootstrap, ///< No member has adopted a term yet.
    PrimaryDown, ///< The primary refuses connections: its process is down.
    PrimarySilent, ///< No contact with the primary for the silence bound.
    PrimaryStalled, ///< The primary's log entries are not replicated to a majority.
    NoPrimary, ///< No member is primary, for example after an unfinished attempt.
    TermRepair, ///< A member has adopted a term without a primary, so it refuses the log of the current one.
    Switchover, ///< Planned: the primary is leaving.
};

/// Returns the name of \a reason in logs and status records, for example "primary-silent".
[[nodiscard]] std::string_view toText(PromotionReason reason) noexcept;

/// Request a report of \a member. It replies at once when \a wait is zero; otherwise when its state differs from the last report received,
/// at the latest after \a wait.
///
/// The reply's deadline is \a wait plus \a timeout. Exactly one of onReport() and onConnectionFailure() must follow.
struct SendReport {
    MemberName member;
    Milliseconds wait{0};
    Milliseconds timeout{0};
};

/// Order \a member to adopt \a term. For every order, exactly one of onOrderReply() and onOrderFailure() must follow.
struct SendAdopt {
    MemberName member;
    Term term;
    Milliseconds timeout{0};
};

/// Order \a member to lead at \a term.
struct SendLead {
    MemberName member;
    Term term;
    Milliseconds timeout{0};
};

/// Order \a member to follow \a primary at \a term.
struct SendFollow {
    MemberName member;
    Term term;
    MemberName primary;
    Address address;
    Milliseconds timeout{0};
};

/// Query the group's other owners for their PeerObservation now.
struct QueryPeers {
};

/// Pause new writes to this group, here and at its other owners, until ResumeWrites or \a until, whichever comes first.
struct PauseWrites {
    TimePoint until;
};

/// Resume paused writes, here and at the group's other owners.
struct ResumeWrites {
};

/// A member is primary at a new term.
///
/// Writes may be sent to it at once, because they are acknowledged only when replicated to a quorum.
struct PrimaryChanged {
    MemberName member;
    Term term;
    PromotionReason reason = PromotionReason::Observed;
    /// The previous primary; empty when there was none.
    MemberName previous;
    /// When the reason for the promotion was detected; for Observed, when the change was.
    TimePoint detectedAt;
    /// When the attempt started.
    TimePoint startedAt;
};

/// Kinds of events for the log and the audit trail.
enum class AuditEventKind : std::uint8_t {
    PrimarySuspected, ///< `member` is suspected; `reason` says why.
    SuspicionOverruled, ///< Other owners have contact with the primary.
    SuspicionCleared, ///< The reason for the suspicion no longer applies; `member` was suspected.
    PrimaryLost, ///< `member` is no longer primary.
    PromotionStarted, ///< An attempt at `term` started.
    PromotionAbandoned, ///< The attempt at `term` ended without a primary.
    PrimaryConfirmed, ///< The start entry of `term` is replicated to a majority; see PrimaryInfo::confirmed.
    MemberRedirected, ///< `member` was ordered to follow the primary.
    SwitchoverStarted, ///< The switchover away from `member` started.
    SwitchoverAbandoned, ///< No replica caught up before the deadline; `member` remains primary.
    SwitchoverFinished, ///< Another member is primary.
    LocalPause, ///< This process was paused; the members' silence during the pause does not count.
};

/// Returns the name of \a kind in the log and the audit trail, for example "primary-suspected".
[[nodiscard]] std::string_view toText(AuditEventKind kind) noexcept;

/// An event for the log and the audit trail.
struct AuditEvent {
    AuditEventKind kind = AuditEventKind::PrimarySuspected;
    MemberName member;
    Term term;
    PromotionReason reason = PromotionReason::Observed;
};

/// An action of the monitor.
using GroupAction =
    std::variant<SendReport, SendAdopt, SendLead, SendFollow, QueryPeers, PauseWrites, ResumeWrites, PrimaryChanged, AuditEvent>;

/// Actions, to be performed in order.
using GroupActions = std::vector<GroupAction>;

/// The primary as this owner observes it.
struct PrimaryInfo {
    MemberName member;
    Term term;
    /// True once the term's start entry, the first one that its primary appends, is replicated to a majority.
    bool confirmed = false;
    /// True while there is a reason to replace the primary, for example no contact with it or stalled replication.
    bool suspected = false;

    [[nodiscard]] bool operator==(const PrimaryInfo &) const = default;
};

} // namespace cardamomstep
