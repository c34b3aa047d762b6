// Runs one read, from its arrival to its verified answer.
#pragma once

#include "owner/impl/flow.h"

namespace cardamomstep::impl {

/// Performs the ReadRouter's steps for one statement.
class ReadFlow
{
public:
    ReadFlow(GroupCore &core, const Statement &statement, SessionToken session, TimePoint deadline);

    /// Runs the read.
    [[nodiscard]] Answer run();

private:
    /// Checks the session's log position against the group's; the error is ErrorKind::TokenAhead.
    [[nodiscard]] std::optional<Error> checkToken();
    /// Runs a round of reports that confirms the primary; returns an answer when there is no time left to try again.
    [[nodiscard]] std::optional<Answer> performCollectReports();
    /// Sends the read to one member; returns an answer when the reply is fresh enough or an error is final.
    [[nodiscard]] std::optional<Answer> performReadFromMember(ReadPlan &plan, const ReadFromMember &read);
    [[nodiscard]] std::optional<Answer> evaluate(ReadPlan &plan, const ReadFromMember &read, const MemberReply &reply);
    /// Waits until a majority has \a position, so that no promotion drops what the answer shows; returns false if that cannot be proved.
    [[nodiscard]] bool waitDurable(const LogPosition &position);
    void performAwaitReplica(TimePoint until);
    [[nodiscard]] Answer noPrimary() const;

    GroupCore &core_;
    const Statement &statement_;
    SessionToken session_;
    TimePoint arrived_;
    TimePoint deadline_;
    std::unique_lock<std::mutex> lock_;
};

} // namespace cardamomstep::impl
