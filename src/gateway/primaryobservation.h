// What this process' own statements tell of a group's primary.
#pragma once

#include "leadership/primaryfailuredetector.h"
#include "leadership/record.h"
#include "relay/engine.h"

namespace cardamomstep::gateway {

/// Answers, stalled writes and acknowledged positions of \a record's primary, as seen by \a engine.
[[nodiscard]] inline leadership::PrimarySighting
sightingOf(const relay::Engine &engine, const leadership::GroupRecord &record, TimePoint now)
{
    leadership::PrimarySighting seen;
    seen.group = record.group;
    seen.generation = record.generation;
    const auto answered = engine.lastAnswer(record.group, record.primary);
    if (answered != TimePoint{}) {
        seen.sinceAnswer = wholeMilliseconds(now - answered);
    }
    if (const auto stalled = engine.writesStalledSince(record.group)) {
        seen.writesStalled = wholeMilliseconds(now - *stalled);
    }
    seen.acknowledged = engine.acknowledged(record.group);
    return seen;
}
} // namespace cardamomstep::gateway
