// Texts of promotion reasons and audit events in logs and status records.
#include "groups/action.h"

namespace cardamomstep {

std::string_view toText(PromotionReason reason) noexcept
{
    switch (reason) {
    case PromotionReason::Observed:
        return "observed";
    case PromotionReason::Bootstrap:
        return "bootstrap";
    case PromotionReason::PrimaryDown:
        return "primary-gone";
    case PromotionReason::PrimarySilent:
        return "primary-silent";
    case PromotionReason::PrimaryStalled:
        return "primary-stalled";
    case PromotionReason::NoPrimary:
        return "no-primary";
    case PromotionReason::TermRepair:
        return "term-repair";
    case PromotionReason::Switchover:
        return "switchover";
    }
    return "unknown";
}

std::string_view toText(AuditEventKind kind) noexcept
{
    switch (kind) {
    case AuditEventKind::PrimarySuspected:
        return "primary-suspected";
    case AuditEventKind::SuspicionOverruled:
        return "suspicion-held-back";
    case AuditEventKind::SuspicionCleared:
        return "suspicion-cleared";
    case AuditEventKind::PrimaryLost:
        return "primary-lost";
    case AuditEventKind::PromotionStarted:
        return "promotion-started";
    case AuditEventKind::PromotionAbandoned:
        return "promotion-abandoned";
    case AuditEventKind::PrimaryConfirmed:
        return "primary-confirmed";
    case AuditEventKind::MemberRedirected:
        return "member-redirected";
    case AuditEventKind::SwitchoverStarted:
        return "switchover-started";
    case AuditEventKind::SwitchoverAbandoned:
        return "switchover-abandoned";
    case AuditEventKind::SwitchoverFinished:
        return "switchover-finished";
    case AuditEventKind::LocalPause:
        return "own-pause";
    }
    return "unknown";
}

} // namespace cardamomstep
