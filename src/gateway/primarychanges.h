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
#include <cstdint>
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
        if (record.changeInProgress && context_.recordRecovery.unverified(record.group)) {
            reason = leadership::PrimaryChangeReason::Unverified;
        } else if (record.changeInProgress) {
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
        ++lastId_.value;
        // An earlier lease holder may have promoted a member up to the moment at which its lease ended.
        const auto inheritedSettledAt = context_.lease.acquiredAt() + leadership::PrimaryChangeLimits{}.confirmTimeout;
        auto &running =
            changes_.emplace(record.group, RunningChange{lastId_, leadership::PrimaryChange(record, *reason, now, inheritedSettledAt)})
                .first->second;
        running.change.onAcknowledged(primaryTableSync_.acknowledged(record.group));
        running.change.setMembers(context_.host.directory.membersOf(record.group));
    }

    /// Performs the due actions of all primary changes; drops the changes that have finished.
    void stepAll(TimePoint now)
    {
        for (auto entry = changes_.begin(); entry != changes_.end();) {
            auto &running = entry->second;
            step({entry->first, running.id}, running.change, now);
            if (running.change.finished()) {
                context_.recordRecovery.onChangeEnded(entry->first);
                entry = changes_.erase(entry);
            } else {
                ++entry;
            }
        }
    }

    /// Handles a change of the directory of members.
    void membersChanged()
    {
        for (auto &[group, running] : changes_) {
            running.change.setMembers(context_.host.directory.membersOf(group));
        }
    }

    void clear()
    {
        changes_.clear();
    }

private:
    /// Identifies one primary change, so that a late reply to a request of an earlier change of the group is not taken for a reply to it.
    struct ChangeId {
        std::uint64_t value = 0;

        [[nodiscard]] bool operator==(const ChangeId &) const = default;
    };

    struct RunningChange {
        ChangeId id;
        leadership::PrimaryChange change;
    };

    /// The change for which a request is made.
    struct ChangeRef {
        GroupName group;
        ChangeId id;
    };

    /// Returns what became of a promotion by the reply to its request.
    [[nodiscard]] static leadership::PromotionOutcome outcomeOf(const Result<Success> &reply)
    {
        if (reply) {
            return leadership::PromotionOutcome::Accepted;
        }
        switch (reply.error().kind) {
        case ErrorKind::Conflict:
            return leadership::PromotionOutcome::Refused;
        case ErrorKind::StoreUnavailable:
            return leadership::PromotionOutcome::NotExecuted;
        default:
            return leadership::PromotionOutcome::Unknown;
        }
    }

    [[nodiscard]] bool hasSuccessor(const leadership::GroupRecord &record) const
    {
        const auto members = context_.host.directory.membersOf(record.group);
        return std::any_of(
            members.begin(), members.end(), [&record](const auto &member) { return member.name != record.primary && !member.draining; });
    }

    void step(const ChangeRef &ref, leadership::PrimaryChange &change, TimePoint now)
    {
        for (auto &action : change.next(now)) {
            std::visit([this, &ref](const auto &dueAction) { perform(ref, dueAction); }, action);
        }
    }

    /// The referenced change; null when it has ended, for example when a reply arrives late.
    leadership::PrimaryChange *changeOf(const ChangeRef &ref)
    {
        const auto found = changes_.find(ref.group);
        return found == changes_.end() || found->second.id != ref.id ? nullptr : &found->second.change;
    }

    void end(const GroupName &group)
    {
        context_.recordRecovery.onChangeEnded(group);
        changes_.erase(group);
    }

    void scheduleStep(const ChangeRef &ref)
    {
        boost::asio::post(context_.loop, [this, ref] {
            const auto now = evloop::bootTimeNow();
            auto *change = changeOf(ref);
            if (change == nullptr || !context_.lease.holds(now)) {
                return;
            }
            step(ref, *change, now);
            if (change->finished()) {
                end(ref.group);
            }
        });
    }

    void perform(const ChangeRef &ref, const leadership::StoreRecord &action)
    {
        auto wanted = action.record;
        wanted.writtenIn = context_.epochs->newest();
        context_.store.replace(leadership::recordKey(ref.group),
                               wanted.revision,
                               leadership::encode(wanted),
                               context_.limits.storeTimeout,
                               [this, ref, wanted](const Result<StoredObject> &stored) {
                                   if (stored) {
                                       recordStored(ref, wanted, stored->version);
                                       return;
                                   }
                                   resolveRecord(ref, wanted);
                               });
    }

    /// Reads the stored record to find out whether a write that failed or whose reply was lost took effect.
    void resolveRecord(const ChangeRef &ref, const leadership::GroupRecord &wanted)
    {
        context_.readStore.list(
            leadership::fleetKind(), context_.limits.storeTimeout, [this, ref, wanted](const Result<StoreListing> &listing) {
                const auto now = evloop::bootTimeNow();
                auto *change = changeOf(ref);
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
                    if (record == nullptr || record->group != ref.group) {
                        continue;
                    }
                    const bool matchesWanted = record->confirmed() && record->primary == wanted.primary
                        && record->generation == wanted.generation && record->changeInProgress == wanted.changeInProgress
                        && record->contested == wanted.contested;
                    if (matchesWanted && record->revision != wanted.revision) {
                        recordStored(ref, wanted, record->revision);
                        return;
                    }
                    change->recordFailed(record->revision != wanted.revision, now);
                    return;
                }
                change->recordFailed(false, now);
            });
    }

    void recordStored(const ChangeRef &ref, leadership::GroupRecord record, Revision revision)
    {
        const auto now = evloop::bootTimeNow();
        record.revision = revision;
        auto *change = changeOf(ref);
        if (change == nullptr) {
            return;
        }
        change->recorded(revision, now);
        context_.primaryTable.accept(record);
        if (record.changeInProgress) {
            context_.primaryTableChanged(now);
            scheduleStep(ref);
            return;
        }
        context_.host.log(LogLevel::Info,
                          "move_ended",
                          {{"group", ref.group.text()},
                           {"primary", record.primary.text()},
                           {"generation", static_cast<std::int64_t>(record.generation)},
                           {"took_ms", static_cast<std::int64_t>(wholeMilliseconds(now - change->startedAt()).count())}});
        end(ref.group);
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

    void perform(const ChangeRef &ref, const leadership::ListProxies &)
    {
        context_.readStore.list(leadership::fleetKind(), context_.limits.storeTimeout, [this, ref](const Result<StoreListing> &listing) {
            auto *change = changeOf(ref);
            if (!listing || change == nullptr) {
                return;
            }
            const auto now = evloop::bootTimeNow();
            context_.applyListing(*listing, now);
            auto proxies = registry_.names();
            if (registry_.find(context_.settings.instance) == nullptr) {
                // This process relies on its own records even while the store lacks its entry.
                proxies.push_back(context_.settings.instance);
            }
            change->proxiesListed(proxies, now);
            scheduleStep(ref);
        });
    }

    void perform(const ChangeRef &ref, const leadership::QuiesceProxy &action)
    {
        const auto onQuiesced = [this, ref, proxy = action.proxy](const fleet::QuiesceReply &reply) {
            if (auto *change = changeOf(ref)) {
                change->quiesced(proxy, reply.acknowledged, reply.uptime, evloop::bootTimeNow());
                scheduleStep(ref);
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

    void perform(const ChangeRef &ref, const leadership::StopReplication &action)
    {
        controlConnections_.send(action.member, relay::MemberVerb::Pause, action.term, [this, ref, action](const ControlReply &reply) {
            auto *change = changeOf(ref);
            if (change != nullptr && reply.status) {
                change->replicationStopped({action.member, *reply.status}, action.term);
                scheduleStep(ref);
            }
        });
    }

    void perform(const ChangeRef &ref, const leadership::QueryMember &action)
    {
        controlConnections_.send(action.member, relay::MemberVerb::Status, 0, [this, ref, name = action.member](const ControlReply &reply) {
            auto *change = changeOf(ref);
            if (change != nullptr && reply.status) {
                change->memberStatus({name, *reply.status});
                scheduleStep(ref);
            }
        });
    }

    void perform(const ChangeRef &ref, const leadership::PromoteMember &action)
    {
        const auto now = evloop::bootTimeNow();
        auto *change = changeOf(ref);
        if (change == nullptr) {
            return;
        }
        // The call must end before another proxy can acquire the lease.
        if (!context_.lease.holds(now + context_.limits.promoteTimeout)) {
            change->promoted(action.member, leadership::PromotionOutcome::NotExecuted, now);
            return;
        }
        context_.host.log(LogLevel::Info,
                          "promote",
                          {{"group", ref.group.text()},
                           {"member", action.member.text()},
                           {"unconfirmed_before", static_cast<std::int64_t>(action.unconfirmedBefore)},
                           {"fence", static_cast<std::int64_t>(context_.lease.fencingToken())}});
        promoter_.promote(ref.group,
                          action.member,
                          context_.settings.instance,
                          context_.lease.fencingToken(),
                          context_.limits.promoteTimeout,
                          [this, ref, name = action.member](const Result<Success> &result) {
                              auto *pending = changeOf(ref);
                              if (pending == nullptr) {
                                  return;
                              }
                              if (!result) {
                                  context_.host.log(
                                      LogLevel::Warning,
                                      "promote_failed",
                                      {{"group", ref.group.text()}, {"member", name.text()}, {"fault", result.error().description}});
                              }
                              pending->promoted(name, outcomeOf(result), evloop::bootTimeNow());
                              scheduleStep(ref);
                          });
    }

    void perform(const ChangeRef &, const leadership::DemoteMember &action)
    {
        controlConnections_.send(action.member, relay::MemberVerb::Demote, action.term, [](const ControlReply &) {});
    }

    void perform(const ChangeRef &, const leadership::ResumeReplication &action)
    {
        controlConnections_.send(action.member, relay::MemberVerb::Resume, 0, [](const ControlReply &) {});
    }
    LeadershipContext<Store> &context_;
    ProxyRegistry<Store> &registry_;
    PrimaryTableSync<Store> &primaryTableSync_;
    MemberControlConnections<Wire, Store> &controlConnections_;
    PrimaryMonitor<Wire, Store> &monitor_;
    Promoter promoter_;
    std::map<GroupName, RunningChange> changes_;
    ChangeId lastId_;
};

} // namespace cardamomstep::gateway
