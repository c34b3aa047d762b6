// Names of reasons and events in logs and status records.
#include "groups/action.h"

namespace cardamomstep {

std::string_view toText(PromotionReason reason) noexcept
{
    switch (reason) {
    case PromotionReason::Observed:
        return "observed";
    case PromotionReason::Bootstrap:
        return "bootstrap";
    case PromotionReason::PrimaryGone:
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

std::string_view toText(NoteKind kind) noexcept
{
    switch (kind) {
    case NoteKind::PrimarySuspected:
        return "primary-suspected";
    case NoteKind::SuspicionHeldBack:
        return "suspicion-held-back";
    case NoteKind::SuspicionCleared:
        return "suspicion-cleared";
    case NoteKind::PrimaryLost:
        return "primary-lost";
    case NoteKind::PromotionStarted:
        return "promotion-started";
    case NoteKind::PromotionAbandoned:
        return "promotion-abandoned";
    case NoteKind::PrimaryConfirmed:
        return "primary-confirmed";
    case NoteKind::MemberRedirected:
        return "member-redirected";
    case NoteKind::SwitchoverStarted:
        return "switchover-started";
    case NoteKind::SwitchoverAbandoned:
        return "switchover-abandoned";
    case NoteKind::SwitchoverFinished:
        return "switchover-finished";
    case NoteKind::OwnPause:
        return "own-pause";
    }
    return "unknown";
}

} // namespace cardamomstep
