// Gathers, at the lease's holder, what is seen of each group's primary.
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

/// Probes primaries and judges what all proxies see of them.
template<relay::WireCodec Wire, typename Store>
class PrimaryWatch
{
public:
    PrimaryWatch(LeaderContext<Store> &context, MemberControls<Wire, Store> &controls)
        : context_(context)
        , controls_(controls)
    {
    }

    /// Keeps an eye on the group's primary.
    void watch(const leadership::GroupRecord &record, TimePoint now)
    {
        auto &watched = watched_[record.group];
        if (!watched.known || watched.generation != record.generation) {
            watched.known = true;
            watched.generation = record.generation;
            watched.suspicion.restart(record.generation, now);
        }
        const bool registered = context_.host.directory.find(record.primary) != nullptr;
        if (registered) {
            watched.suspicion.registered();
        }
        watched.suspicion.sight(context_.settings.instance, sightingOf(context_.host.engine, record, now), now);
        const auto answered = context_.host.engine.lastAnswer(record.group, record.primary);
        const bool quiet = now - answered >= context_.limits.probeAfter && now - watched.probedAt >= context_.limits.probeAfter;
        if (!quiet && now - watched.probedAt < context_.limits.probeInterval) {
            return;
        }
        if (!registered) {
            return;
        }
        watched.probedAt = now;
        const auto generation = record.generation;
        controls_.ask(record.primary, relay::MemberVerb::Status, 0, [this, group = record.group, generation](const ControlAnswer &answer) {
            const auto found = watched_.find(group);
            if (!answer.answered || found == watched_.end() || found->second.generation != generation) {
                return;
            }
            found->second.suspicion.probed(!answer.account || answer.account->primary, evloop::bootTimeNow());
        });
    }

    /// Takes in what another proxy sees.
    void sighted(const fleet::RenewRequest &request, TimePoint now)
    {
        for (const auto &seen : request.sightings) {
            const auto watched = watched_.find(seen.group);
            if (watched != watched_.end()) {
                watched->second.suspicion.sight(request.instance, seen, now);
            }
        }
    }

    /// Why the group's primary should be replaced; nothing when it should not.
    [[nodiscard]] std::optional<leadership::MoveReason> judge(const GroupName &group, TimePoint now)
    {
        return watched_[group].suspicion.judge(now);
    }

    /// Begins anew for all groups, after this process stood still.
    void restart(TimePoint now)
    {
        for (auto &[group, watched] : watched_) {
            watched.suspicion.restart(watched.generation, now);
        }
    }

    void clear()
    {
        watched_.clear();
    }

private:
    struct Watched {
        leadership::Suspicion suspicion;
        std::uint64_t generation = 0;
        TimePoint probedAt;
        bool known = false;
    };

    LeaderContext<Store> &context_;
    MemberControls<Wire, Store> &controls_;
    std::map<GroupName, Watched> watched_;
};

} // namespace cardamomstep::gateway
