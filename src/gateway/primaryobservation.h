// This process' own observation of a group's primary, from the statements that it sent there.
#pragma once

#include "leadership/primaryfailuredetector.h"
#include "leadership/record.h"
#include "relay/engine.h"

namespace cardamomstep::gateway {

/// Returns the last reply, stalled writes and acknowledged position of \a record's primary, as observed by \a engine.
[[nodiscard]] inline leadership::PrimaryObservation
observationOf(const relay::Engine &engine, const leadership::GroupRecord &record, TimePoint now)
{
    leadership::PrimaryObservation observation;
    observation.group = record.group;
    observation.generation = record.generation;
    const auto lastReplyAt = engine.lastReplyAt(record.group, record.primary);
    if (lastReplyAt != TimePoint{}) {
        observation.sinceLastReply = wholeMilliseconds(now - lastReplyAt);
    }
    if (const auto stalled = engine.writesStalledSince(record.group)) {
        observation.writesStalledFor = wholeMilliseconds(now - *stalled);
    }
    observation.acknowledged = engine.acknowledged(record.group);
    return observation;
}
} // namespace cardamomstep::gateway
