// Falls back to the store, and returns to the renewals.
#include "store/catalogsource.h"

#include <algorithm>

namespace cardamomstep {

std::string_view toText(CatalogWatchReason reason) noexcept
{
    switch (reason) {
    case CatalogWatchReason::Watcher:
        return "watcher";
    case CatalogWatchReason::Silence:
        return "silence";
    case CatalogWatchReason::Missed:
        return "missed";
    case CatalogWatchReason::None:
        break;
    }
    return "renewed";
}

void CatalogSource::start(TimePoint now) noexcept
{
    confirmedAt_ = now;
    renewedAt_ = now;
    succeedingSince_ = now;
    lastDecision_ = now;
    for (auto &part : parts_) {
        // Changes that were reported before could not be sent to this proxy.
        part.awaitedUntil = std::max(part.awaitedUntil, now + limits_.arrivalTimeout + margin_);
    }
}

void CatalogSource::onRenewed(TimePoint confirmedAt, TimePoint now) noexcept
{
    if (now - confirmedAt_ >= limits_.silenceTimeout) {
        succeedingSince_ = now;
    }
    renewedAt_ = now;
    confirmedAt_ = std::max(confirmedAt_, confirmedAt);
}

void CatalogSource::onReported(CatalogPart part, Revision newest, Revision complete, TimePoint now) noexcept
{
    auto &state = parts_[indexOf(part)];
    onComplete(part, complete);
    if (newest <= complete || state.awaited.value != 0) {
        return;
    }
    state.awaited = newest;
    state.awaitedSince = now;
    state.awaitedUntil = now + limits_.arrivalTimeout + margin_;
}

void CatalogSource::onDeferred(CatalogPart part, TimePoint now) noexcept
{
    auto &state = parts_[indexOf(part)];
    if (state.awaited.value == 0) {
        return;
    }
    // The extension counts from the first report, so that a source that defers forever is left.
    const auto limit = state.awaitedSince + limits_.deferredTimeout + margin_;
    state.awaitedUntil = std::max(state.awaitedUntil, std::min(limit, now + limits_.arrivalTimeout + margin_));
}

void CatalogSource::onWithheld(CatalogPart part, Revision revision, TimePoint now) noexcept
{
    auto &state = parts_[indexOf(part)];
    if (state.listUpTo < revision) {
        state.listUpTo = revision;
        state.awaitedUntil = std::max(state.awaitedUntil, now + limits_.deferredTimeout);
    }
}

void CatalogSource::onComplete(CatalogPart part, Revision complete) noexcept
{
    auto &state = parts_[indexOf(part)];
    if (state.awaited <= complete) {
        state.awaited = Revision{};
    }
    if (state.listUpTo <= complete) {
        state.listUpTo = Revision{};
    }
}

bool CatalogSource::missed(TimePoint now) const noexcept
{
    return std::any_of(
        parts_.begin(), parts_.end(), [now](const Part &part) { return part.awaited.value != 0 && now >= part.awaitedUntil; });
}

CatalogWatchReason CatalogSource::decide(TimePoint now) noexcept
{
    if (now - lastDecision_ >= limits_.pauseThreshold) {
        // Nothing could arrive during the pause, and nothing is served before a renewal, which brings the catalog as well.
        confirmedAt_ = std::max(confirmedAt_, now + limits_.afterPause - limits_.silenceTimeout);
        renewedAt_ = std::max(renewedAt_, confirmedAt_);
        for (auto &part : parts_) {
            part.awaitedUntil = std::max(part.awaitedUntil, now + limits_.arrivalTimeout);
        }
    }
    lastDecision_ = now;
    if (now - renewedAt_ >= limits_.silenceTimeout || now - confirmedAt_ >= limits_.silenceTimeout + margin_) {
        fallBack(CatalogWatchReason::Silence, now);
    } else if (missed(now)) {
        fallBack(CatalogWatchReason::Missed, now);
    } else if (fallback_ != CatalogWatchReason::None) {
        decideReturn(now);
    }
    return watcher_ ? CatalogWatchReason::Watcher : fallback_;
}

void CatalogSource::fallBack(CatalogWatchReason reason, TimePoint now) noexcept
{
    if (fallback_ == CatalogWatchReason::None) {
        const bool repeated = returnedAt_ != TimePoint{} && now - returnedAt_ < returnAfter_;
        returnAfter_ = repeated ? std::min(returnAfter_ * 2, limits_.maxReturnAfter) : limits_.returnAfter;
        fallback_ = reason;
    }
    succeedingSince_ = now;
}

void CatalogSource::decideReturn(TimePoint now) noexcept
{
    if (now - confirmedAt_ >= limits_.silenceTimeout) {
        succeedingSince_ = now;
    } else if (now - succeedingSince_ >= returnAfter_) {
        fallback_ = CatalogWatchReason::None;
        returnedAt_ = now;
    }
}

} // namespace cardamomstep
