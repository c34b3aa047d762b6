// Primary changes in progress at the lease holder: performs the actions of each and reports the replies to it.
#pragma once

#include "evloop/clock.h"
#include "gateway/leadershipcontext.h"
#include "gateway/membercontrolconnections.h"
#include "gateway/primarymonitor.h"
#include "gateway/primarytablesync.h"
#include "gateway/proxyregistry.h"
#include "leadership/primarychange.h"
#include "leadership/recordjson.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>
#include <variant>

namespace cardamomstep::gateway {

/// The primary changes of all groups; \a Promoter is the platform's service for promotions.
template<relay::WireCodec Wire, typename Store, typename Promoter>
class PrimaryChanges
{
public:
    PrimaryChanges(LeadershipContext<Store> &context,
                   ProxyRegistry<Store> &registry,
                   PrimaryTableSync<Store> &primaryTableSync,
                   MemberControlConnections<Wire, Store> &controlConnections,
                   PrimaryMonitor<Wire, Store> &monitor)
        : context_(context)
        , registry_(registry)
        , primaryTableSync_(primaryTableSync)
        , controlConnections_(controlConnections)
        , monitor_(monitor)
        , promoter_(context.loop, context.settings.promotions)
    {
    }

    [[nodiscard]] bool contains(const GroupName &group) const
    {
        return changes_.contains(group);
    }

    /// Starts a change of the group's primary if there is a reason for one.
    void startIfNeeded(const leadership::GroupRecord &record, TimePoint now)
    {
        std::optional<leadership::PrimaryChangeReason> reason;
        const auto *member = context_.host.directory.find(record.primary);
        if (record.changeInProgress) {
            reason = leadership::PrimaryChangeReason::Resumed;
        } else if (member != nullptr && member->draining && hasSuccessor(record)) {
            reason = leadership::PrimaryChangeReason::Leaving;
        } else {
            reason = monitor_.evaluate(record.group, now);
        }
        if (!reason) {
            return;
        }
        context_.host.log(LogLevel::Warning,
                          "move_started",
                          {{"group", record.group.text()},
                           {"primary", record.primary.text()},
                           {"reason", leadership::toText(*reason)},
                           {"generation", static_cast<std::int64_t>(record.generation)},
                           {"fence", static_cast<std::int64_t>(context_.lease.fencingToken())}});
        auto &change = changes_.emplace(record.group, leadership::PrimaryChange(record, *reason, now)).first->second;
        change.onAcknowledged(primaryTableSync_.acknowledged(record.group));
        change.setMembers(context_.host.directory.membersOf(record.group));
    }

    /// Performs the due actions of all primary changes; drops the changes that have finished.
    void stepAll(TimePoint now)
    {
        for (auto change = changes_.begin(); change != changes_.end();) {
            step(change->first, change->second, now);
            change = change->second.finished() ? changes_.erase(change) : std::next(change);
        }
    }

    /// Handles a change of the directory of members.
    void membersChanged()
    {
        for (auto &[group, change] : changes_) {
            change.setMembers(context_.host.directory.membersOf(group));
        }
    }

    void clear()
    {
        changes_.clear();
    }

private:
    [[nodiscard]] bool hasSuccessor(const leadership::GroupRecord &record) const
    {
        const auto members = context_.host.directory.membersOf(record.group);
        return std::any_of(
            members.begin(), members.end(), [&record](const auto &member) { return member.name != record.primary && !member.draining; });
    }

    void step(const GroupName &group, leadership::PrimaryChange &change, TimePoint now)
    {
        for (auto &action : change.next(now)) {
            std::visit([this, &group](const auto &dueAction) { perform(group, dueAction); }, action);
        }
    }

    /// The group's primary change; null when none is in progress, for example when a reply arrives after the end of the change.
    leadership::PrimaryChange *changeOf(const GroupName &group)
    {
        const auto found = changes_.find(group);
        return found == changes_.end() ? nullptr : &found->second;
    }

    void scheduleStep(const GroupName &group)
    {
        boost::asio::post(context_.loop, [this, group] {
            const auto now = evloop::bootTimeNow();
            auto *change = changeOf(group);
            if (change == nullptr || !context_.lease.holds(now)) {
                return;
            }
            step(group, *change, now);
            if (change->finished()) {
                changes_.erase(group);
            }
        });
    }

    void perform(const GroupName &group, const leadership::StoreRecord &action)
    {
        const auto wanted = action.record;
        context_.store.replace(leadership::recordKey(group),
                               wanted.revision,
                               leadership::encode(wanted),
                               context_.limits.storeTimeout,
                               [this, group, wanted](const Result<StoredObject> &stored) {
                                   if (stored) {
                                       recordStored(group, wanted, stored->version);
                                       return;
                                   }
                                   resolveRecord(group, wanted);
                               });
    }

    /// Reads the stored record to find out whether a write that failed or whose reply was lost took effect.
    void resolveRecord(const GroupName &group, const leadership::GroupRecord &wanted)
    {
        context_.readStore.list(
            leadership::fleetKind(), context_.limits.storeTimeout, [this, group, wanted](const Result<StoreListing> &listing) {
                const auto now = evloop::bootTimeNow();
                auto *change = changeOf(group);
                if (change == nullptr) {
                    return;
                }
                if (!listing) {
                    change->recordFailed(false, now);
                    return;
                }
                for (const auto &object : listing->objects) {
                    const auto decoded = leadership::decodeFleetObject(object);
                    const auto *record = std::get_if<leadership::GroupRecord>(&decoded);
                    if (record == nullptr || record->group != group) {
                        continue;
                    }
                    const bool matchesWanted = record->primary == wanted.primary && record->generation == wanted.generation
                        && record->changeInProgress == wanted.changeInProgress;
                    if (matchesWanted && record->revision != wanted.revision) {
                        recordStored(group, wanted, record->revision);
                        return;
                    }
                    change->recordFailed(record->revision != wanted.revision, now);
                    return;
                }
                change->recordFailed(false, now);
            });
    }

    void recordStored(const GroupName &group, leadership::GroupRecord record, Revision revision)
    {
        const auto now = evloop::bootTimeNow();
        record.revision = revision;
        auto *change = changeOf(group);
        if (change == nullptr) {
            return;
        }
        change->recorded(revision, now);
        context_.primaryTable.accept(record);
        if (record.changeInProgress) {
            context_.primaryTableChanged(now);
            scheduleStep(group);
            return;
        }
        context_.host.log(LogLevel::Info,
                          "move_ended",
                          {{"group", group.text()},
                           {"primary", record.primary.text()},
                           {"generation", static_cast<std::int64_t>(record.generation)},
                           {"took_ms", static_cast<std::int64_t>(wholeMilliseconds(now - change->startedAt()).count())}});
        changes_.erase(group);
        context_.primaryTable.renew({record}, std::min(now, context_.lease.validUntil() - leadership::primaryTableLease));
        context_.primaryTableChanged(now);
        for (const auto &[instance, proxy] : registry_.all()) {
            if (instance != context_.settings.instance) {
                context_.client.announce(proxy.entry.address,
                                         fleet::Announcement{record, Milliseconds{0}},
                                         context_.limits.announceTimeout,
                                         [](const auto &) {});
            }
        }
    }

    void perform(const GroupName &group, const leadership::ListProxies &)
    {
        context_.readStore.list(leadership::fleetKind(), context_.limits.storeTimeout, [this, group](const Result<StoreListing> &listing) {
            auto *change = changeOf(group);
            if (!listing || change == nullptr) {
                return;
            }
            const auto now = evloop::bootTimeNow();
            context_.applyListing(*listing, now);
            change->proxiesListed(registry_.names(), now);
            scheduleStep(group);
        });
    }

    void perform(const GroupName &group, const leadership::QuiesceProxy &action)
    {
        const auto onQuiesced = [this, group, proxy = action.proxy](const fleet::QuiesceReply &reply) {
            if (auto *change = changeOf(group)) {
                change->quiesced(proxy, reply.acknowledged, reply.uptime, evloop::bootTimeNow());
                scheduleStep(group);
            }
        };
        if (action.proxy == context_.settings.instance) {
            primaryTableSync_.quiesceThenReply(action.record, evloop::bootTimeNow() + action.drainTimeout, onQuiesced);
            return;
        }
        const auto *proxy = registry_.find(action.proxy);
        if (proxy == nullptr) {
            return;
        }
        context_.client.announce(proxy->address,
                                 fleet::Announcement{action.record, action.drainTimeout},
                                 context_.limits.announceTimeout,
                                 [this, onQuiesced](Result<fleet::QuiesceReply> reply) {
                                     boost::asio::post(context_.loop, [onQuiesced, reply = std::move(reply)] {
                                         if (reply) {
                                             onQuiesced(*reply);
                                         }
                                     });
                                 });
    }

    void perform(const GroupName &group, const leadership::StopReplication &action)
    {
        controlConnections_.send(action.member, relay::MemberVerb::Pause, action.term, [this, group, action](const ControlReply &reply) {
            auto *change = changeOf(group);
            if (change != nullptr && reply.status) {
                change->replicationStopped({action.member, *reply.status}, action.term);
                scheduleStep(group);
            }
        });
    }

    void perform(const GroupName &group, const leadership::QueryMember &action)
    {
        controlConnections_.send(
            action.member, relay::MemberVerb::Status, 0, [this, group, name = action.member](const ControlReply &reply) {
                auto *change = changeOf(group);
                if (change != nullptr && reply.status) {
                    change->memberStatus({name, *reply.status});
                    scheduleStep(group);
                }
            });
    }

    void perform(const GroupName &group, const leadership::PromoteMember &action)
    {
        const auto now = evloop::bootTimeNow();
        auto *change = changeOf(group);
        if (change == nullptr) {
            return;
        }
        // The call must end before another proxy can acquire the lease.
        if (!context_.lease.holds(now + context_.limits.promoteTimeout)) {
            change->promoted(action.member, false, false, now);
            return;
        }
        context_.host.log(LogLevel::Info,
                          "promote",
                          {{"group", group.text()},
                           {"member", action.member.text()},
                           {"fence", static_cast<std::int64_t>(context_.lease.fencingToken())}});
        promoter_.promote(group,
                          action.member,
                          context_.settings.instance,
                          context_.lease.fencingToken(),
                          context_.limits.promoteTimeout,
                          [this, group, name = action.member](const Result<Success> &result) {
                              auto *pending = changeOf(group);
                              if (pending == nullptr) {
                                  return;
                              }
                              const bool refused = !result && result.error().kind == ErrorKind::Conflict;
                              if (!result) {
                                  context_.host.log(
                                      LogLevel::Warning,
                                      "promote_failed",
                                      {{"group", group.text()}, {"member", name.text()}, {"fault", result.error().description}});
                              }
                              pending->promoted(name, static_cast<bool>(result), refused, evloop::bootTimeNow());
                              scheduleStep(group);
                          });
    }

    void perform(const GroupName &, const leadership::DemoteMember &action)
    {
        controlConnections_.send(action.member, relay::MemberVerb::Demote, action.term, [](const ControlReply &) {});
    }

    void perform(const GroupName &, const leadership::ResumeReplication &action)
    {
        controlConnections_.send(action.member, relay::MemberVerb::Resume, 0, [](const ControlReply &) {});
    }
    LeadershipContext<Store> &context_;
    ProxyRegistry<Store> &registry_;
    PrimaryTableSync<Store> &primaryTableSync_;
    MemberControlConnections<Wire, Store> &controlConnections_;
    PrimaryMonitor<Wire, Store> &monitor_;
    Promoter promoter_;
    std::map<GroupName, leadership::PrimaryChange> changes_;
};

} // namespace cardamomstep::gateway
