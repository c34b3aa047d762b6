// Finds out for good whether a request took effect.
#pragma once

#include "owner/impl/flow.h"

namespace cardamomstep::impl {

/// Answers Verb::Outcome.
///
/// A request id that is in no log may still be on its way. So a missing id is first closed: an empty write under the same id takes
/// its place, and whatever arrives later under it is refused. Only then is "not run" true for good.
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
