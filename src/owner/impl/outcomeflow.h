// Determines with certainty whether a request took effect.
#pragma once

#include "owner/impl/flow.h"

namespace cardamomstep::impl {

/// Answers Verb::Outcome.
///
/// A request whose id is in no log may still be in flight. So a missing id is first closed: an empty write is logged under the same
/// id, so that a request that arrives later under it is refused. Only then is it certain that the request never runs.
class OutcomeFlow
{
public:
    OutcomeFlow(GroupCore &core, const Statement &statement, SessionToken session, TimePoint deadline);

    [[nodiscard]] Answer run();

private:
    [[nodiscard]] Answer found(const OutcomeReply &reply);
    [[nodiscard]] Answer closeId();
    [[nodiscard]] std::optional<OutcomeReply> query(const PrimaryInfo &primary);

    GroupCore &core_;
    const Statement &statement_;
    SessionToken session_;
    TimePoint deadline_;
};

} // namespace cardamomstep::impl
