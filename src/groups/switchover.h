// Planned handover of a group's primary: hold writes, let a replica catch up, hand over, release.
#pragma once

#include "base/ids.h"
#include "base/logposition.h"
#include "base/time.h"
#include "groups/policy.h"
#include "members/member.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace cardamomstep {

/// What a switchover wants next.
enum class SwitchoverStep : std::uint8_t {
    Idle, ///< None is under way.
    CatchUp, ///< Writes are held and a replica is catching up.
    HandOver, ///< target() holds all of the primary's log: promote it.
    Promote, ///< The promotion is under way.
    Abandon, ///< No replica got there in time: release the writes.
};

/// One planned switchover.
class Switchover
{
public:
    /// Begins to move the lead away from \a from; writes are held until \a now plus the policy's limit.
    void start(const MemberName &from, const GroupPolicy &policy, TimePoint now);

    /// Looks at the members' last reports and returns the next step.
    SwitchoverStep advance(const std::vector<MemberReport> &reports, const Term &term, const GroupPolicy &policy, TimePoint now);

    /// The promotion of target() began.
    void promoting() noexcept;

    /// Ends it, whatever its step.
    void finish() noexcept;

    [[nodiscard]] bool active() const noexcept;
    [[nodiscard]] SwitchoverStep step() const noexcept;
    /// The member that leaves.
    [[nodiscard]] const MemberName &from() const noexcept;
    /// The replica to promote; empty before HandOver.
    [[nodiscard]] const MemberName &target() const noexcept;
    /// When the hold ends.
    [[nodiscard]] TimePoint deadline() const noexcept;

private:
    SwitchoverStep step_ = SwitchoverStep::Idle;
    MemberName from_;
    MemberName target_;
    TimePoint deadline_;
    /// The primary's last entry and since when it has not moved.
    Mark still_;
    TimePoint stillSince_;
};

} // namespace cardamomstep
