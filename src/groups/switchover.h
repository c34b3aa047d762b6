// Planned change of a group's primary: pause writes, let a replica catch up, promote it, resume writes.
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

/// Next step of a switchover.
enum class SwitchoverStep : std::uint8_t {
    Idle, ///< No switchover is in progress.
    CatchUp, ///< Writes are paused and a replica is catching up.
    HandOver, ///< target() has all of the primary's log: promote it.
    Promote, ///< The promotion is in progress.
    Abandon, ///< No replica caught up before the deadline: resume writes.
};

/// One planned switchover.
class Switchover
{
public:
    /// Starts the switchover away from \a from; writes are paused until \a now plus the policy's `holdLimit`, at most.
    void start(const MemberName &from, const GroupPolicy &policy, TimePoint now);

    /// Evaluates the members' last reports and returns the next step.
    SwitchoverStep advance(const std::vector<MemberReport> &reports, const Term &term, const GroupPolicy &policy, TimePoint now);

    /// The promotion of target() has started.
    void onPromotionStarted() noexcept;

    /// Ends the switchover at any step.
    void finish() noexcept;

    [[nodiscard]] bool active() const noexcept;
    [[nodiscard]] SwitchoverStep step() const noexcept;
    /// The member that is leaving.
    [[nodiscard]] const MemberName &from() const noexcept;
    /// The replica to promote; empty before HandOver.
    [[nodiscard]] const MemberName &target() const noexcept;
    /// When the write pause ends.
    [[nodiscard]] TimePoint deadline() const noexcept;

private:
    SwitchoverStep step_ = SwitchoverStep::Idle;
    MemberName from_;
    MemberName target_;
    TimePoint deadline_;
    /// End of the primary's log, and since when it has been unchanged.
    LogPosition stableEnd_;
    TimePoint stableSince_;
};

} // namespace cardamomstep
