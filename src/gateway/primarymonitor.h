// Collects, at the lease holder, all proxies' observations of each group's primary.
#pragma once

#include "evloop/clock.h"
#include "fleet/messages.h"
#include "gateway/leadershipcontext.h"
#include "gateway/membercontrolconnections.h"
#include "gateway/primaryobservation.h"
#include "leadership/primaryfailuredetector.h"

#include <map>
#include <optional>

namespace cardamomstep::gateway {

/// Probes primaries and evaluates all proxies' observations of them.
template<relay::WireCodec Wire, typename Store>
class PrimaryMonitor
{
public:
    PrimaryMonitor(LeadershipContext<Store> &context, MemberControlConnections<Wire, Store> &controlConnections)
        : context_(context)
        , controlConnections_(controlConnections)
    {
    }

    /// Records this process' own observation of the group's primary, and probes the primary when that is due.
    void check(const leadership::GroupRecord &record, TimePoint now)
    {
        auto &monitored = monitored_[record.group];
        if (!monitored.initialized || monitored.generation != record.generation) {
            monitored.initialized = true;
            monitored.generation = record.generation;
            monitored.failureDetector.restart(record.generation, now);
        }
        const bool registered = context_.host.directory.find(record.primary) != nullptr;
        if (registered) {
            monitored.failureDetector.onRegistered();
        }
        monitored.failureDetector.recordObservation(context_.settings.instance, observationOf(context_.host.engine, record, now), now);
        const auto lastReplyAt = context_.host.engine.lastReplyAt(record.group, record.primary);
        const bool silent = now - lastReplyAt >= context_.limits.probeAfter && now - monitored.probedAt >= context_.limits.probeAfter;
        if (!silent && now - monitored.probedAt < context_.limits.probeInterval) {
            return;
        }
        if (!registered) {
            return;
        }
        monitored.probedAt = now;
        const auto generation = record.generation;
        controlConnections_.send(
            record.primary, relay::MemberVerb::Status, 0, [this, group = record.group, generation](const ControlReply &reply) {
                const auto found = monitored_.find(group);
                if (!reply.received || found == monitored_.end() || found->second.generation != generation) {
                    return;
                }
                found->second.failureDetector.onProbeReply(!reply.status || reply.status->primary, evloop::bootTimeNow());
            });
    }

    /// Records the observations that another proxy reports.
    void onObservations(const fleet::RenewRequest &request, TimePoint now)
    {
        for (const auto &observation : request.observations) {
            const auto monitored = monitored_.find(observation.group);
            if (monitored != monitored_.end()) {
                monitored->second.failureDetector.recordObservation(request.instance, observation, now);
            }
        }
    }

    /// The reason to replace the group's primary; std::nullopt when there is none.
    [[nodiscard]] std::optional<leadership::PrimaryChangeReason> evaluate(const GroupName &group, TimePoint now)
    {
        return monitored_[group].failureDetector.evaluate(now);
    }

    /// Restarts failure detection for all groups, after a pause of this process.
    void restart(TimePoint now)
    {
        for (auto &[group, monitored] : monitored_) {
            monitored.failureDetector.restart(monitored.generation, now);
        }
    }

    void clear()
    {
        monitored_.clear();
    }

private:
    struct Monitored {
        leadership::PrimaryFailureDetector failureDetector;
        std::uint64_t generation = 0;
        TimePoint probedAt;
        bool initialized = false;
    };

    LeadershipContext<Store> &context_;
    MemberControlConnections<Wire, Store> &controlConnections_;
    std::map<GroupName, Monitored> monitored_;
};

} // namespace cardamomstep::gateway
