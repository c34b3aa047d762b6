// What a group's monitor asks its shell to do.
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

/// Why a promotion takes place.
enum class PromotionReason : std::uint8_t {
    Observed, ///< Another owner promoted; this one only saw the result.
    Bootstrap, ///< No member has adopted a term yet.
    PrimaryGone, ///< The primary refuses connections: its process is gone.
    PrimarySilent, ///< No sign of life from the primary for the silence bound.
    PrimaryStalled, ///< The primary's entries reach no majority.
    NoPrimary, ///< No member leads, for example after an attempt that was left unfinished.
    TermRepair, ///< A member has adopted a term that nobody leads, so it can follow nobody.
    Switchover, ///< Planned: the primary leaves.
};

/// "observed", "bootstrap" and so on, for logs and status records.
[[nodiscard]] std::string_view toText(PromotionReason reason) noexcept;

/// Ask \a member for a report: at once when \a wait is zero, else a waiting report against the last one received.
///
/// The reply's deadline is \a wait plus \a timeout. Exactly one of onReport() and onLinkFailure() must follow.
struct SendReport {
    MemberName member;
    Milliseconds wait{0};
    Milliseconds timeout{0};
};

/// Tell \a member to adopt \a term. Exactly one of onOrderReply() and onOrderFailure() must follow; so for all orders.
struct SendAdopt {
    MemberName member;
    Term term;
    Milliseconds timeout{0};
};

/// Tell \a member to lead at \a term.
struct SendLead {
    MemberName member;
    Term term;
    Milliseconds timeout{0};
};

/// Tell \a member to follow \a primary at \a term.
struct SendFollow {
    MemberName member;
    Term term;
    MemberName primary;
    Address address;
    Milliseconds timeout{0};
};

/// Ask the group's other owners for their PeerSighting now.
struct AskPeers {
};

/// Hold new writes to this group, here and at its other owners, until released or until \a until.
struct HoldWrites {
    TimePoint until;
};

/// Let held writes go on, here and at the group's other owners.
struct ReleaseWrites {
};

/// A member leads at a new term.
///
/// Its writes are acknowledged by coverage, so they may be sent to it at once.
struct PrimaryChanged {
    MemberName member;
    Term term;
    PromotionReason reason = PromotionReason::Observed;
    /// The primary before, when there was one.
    MemberName previous;
    /// When the need for a promotion was seen; for Observed, when the change was.
    TimePoint detectedAt;
    /// When the attempt began.
    TimePoint startedAt;
};

/// Kinds of events for the log and the audit trail.
enum class NoteKind : std::uint8_t {
    PrimarySuspected, ///< `member` is suspected; `reason` says why.
    SuspicionHeldBack, ///< Other owners hear the primary.
    SuspicionCleared, ///< The suspected primary gave a sign of life.
    PrimaryLost, ///< `member` no longer leads.
    PromotionStarted, ///< An attempt at `term` began.
    PromotionAbandoned, ///< The attempt at `term` ended without a primary.
    PrimaryConfirmed, ///< The start entry of `term` is covered by a majority.
    MemberRedirected, ///< `member` was told to follow.
    SwitchoverStarted, ///< The switchover away from `member` began.
    SwitchoverAbandoned, ///< No replica could take over in time; `member` goes on leading.
    SwitchoverFinished, ///< Another member leads.
    OwnPause, ///< This process itself stood still; silence is measured anew.
};

/// "primary-suspected" and so on.
[[nodiscard]] std::string_view toText(NoteKind kind) noexcept;

/// An event for the log and the audit trail.
struct Note {
    NoteKind kind = NoteKind::PrimarySuspected;
    MemberName member;
    Term term;
    PromotionReason reason = PromotionReason::Observed;
};

/// One thing to do.
using GroupAction = std::variant<SendReport, SendAdopt, SendLead, SendFollow, AskPeers, HoldWrites, ReleaseWrites, PrimaryChanged, Note>;

/// Things to do, in order.
using GroupActions = std::vector<GroupAction>;

/// The primary as this owner sees it.
struct PrimaryView {
    MemberName member;
    Term term;
    /// True once a majority holds the start entry of the term.
    bool confirmed = false;
    /// True while the primary gives no sign of life or its entries reach no majority.
    bool suspected = false;

    [[nodiscard]] bool operator==(const PrimaryView &) const = default;
};

} // namespace cardamomstep
