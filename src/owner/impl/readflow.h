// Carries one read from its arrival to its verified answer.
#pragma once

#include "owner/impl/flow.h"

namespace cardamomstep::impl {

/// Performs the steps of the ReadRouter for one statement.
class ReadFlow
{
public:
    ReadFlow(GroupCore &core, const Statement &statement, SessionToken session, TimePoint deadline);

    /// Runs the read.
    [[nodiscard]] Answer run();

private:
    /// Checks the session's mark against the group; the error is ErrorKind::TokenAhead.
    [[nodiscard]] std::optional<Error> checkToken();
    /// Has the primary confirmed; an answer when that is not to be had in time.
    [[nodiscard]] std::optional<Answer> performConfirm();
    /// Asks one member; an answer when it is fresh enough or final.
    [[nodiscard]] std::optional<Answer> performReadFromMember(ReadPlan &plan, const ReadFromMember &read);
    [[nodiscard]] std::optional<Answer> evaluate(ReadPlan &plan, const ReadFromMember &read, const MemberReply &reply);
    /// Waits until a majority holds \a mark, so that no promotion drops what the answer shows; false when that cannot be known.
    [[nodiscard]] bool waitDurable(const LogPosition &position);
    void performAwait(TimePoint until);
    [[nodiscard]] Answer noPrimary() const;

    GroupCore &core_;
    const Statement &statement_;
    SessionToken session_;
    TimePoint arrived_;
    TimePoint deadline_;
    std::unique_lock<std::mutex> lock_;
};

} // namespace cardamomstep::impl
