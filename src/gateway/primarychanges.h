// Moves of leadership under way at the lease's holder: carries out what each decides, and brings back the answers.
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

/// The moves of all groups; \a Promoter is the platform's service for promotions.
template<relay::WireCodec Wire, typename Store, typename Promoter>
class GroupMoves
{
public:
    GroupMoves(LeaderContext<Store> &context,
               ProxyRegistry<Store> &registry,
               ViewKeeper<Store> &views,
               MemberControls<Wire, Store> &controls,
               PrimaryWatch<Wire, Store> &watch)
        : context_(context)
        , registry_(registry)
        , views_(views)
        , controls_(controls)
        , watch_(watch)
        , promoter_(context.loop, context.settings.promotions)
    {
    }

    [[nodiscard]] bool contains(const GroupName &group) const
    {
        return moves_.contains(group);
    }

    /// Begins a move of the group's leadership where there is a reason to.
    void consider(const leadership::GroupRecord &record, TimePoint now)
    {
        std::optional<leadership::MoveReason> reason;
        const auto *member = context_.host.directory.find(record.primary);
        if (record.moving) {
            reason = leadership::MoveReason::Resumed;
        } else if (member != nullptr && member->draining && hasSuccessor(record)) {
            reason = leadership::MoveReason::Leaving;
        } else {
            reason = watch_.judge(record.group, now);
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
                           {"fence", static_cast<std::int64_t>(context_.lease.fence())}});
        auto &move = moves_.emplace(record.group, leadership::Promotion(record, *reason, now)).first->second;
        move.known(views_.acknowledged(record.group));
        move.setMembers(context_.host.directory.membersOf(record.group));
    }

    /// Goes on with all moves.
    void stepAll(TimePoint now)
    {
        for (auto move = moves_.begin(); move != moves_.end();) {
            step(move->first, move->second, now);
            move = move->second.over() ? moves_.erase(move) : std::next(move);
        }
    }

    /// Takes in that the directory of members changed.
    void membersChanged()
    {
        for (auto &[group, move] : moves_) {
            move.setMembers(context_.host.directory.membersOf(group));
        }
    }

    void clear()
    {
        moves_.clear();
    }

private:
    [[nodiscard]] bool hasSuccessor(const leadership::GroupRecord &record) const
    {
        const auto members = context_.host.directory.membersOf(record.group);
        return std::any_of(
            members.begin(), members.end(), [&record](const auto &member) { return member.name != record.primary && !member.draining; });
    }

    void step(const GroupName &group, leadership::Promotion &move, TimePoint now)
    {
        for (auto &action : move.next(now)) {
            std::visit([this, &group](const auto &what) { carryOut(group, what); }, action);
        }
    }

    /// The group's move, if it is still under way; answers of earlier ones are ignored.
    leadership::Promotion *moveOf(const GroupName &group)
    {
        const auto found = moves_.find(group);
        return found == moves_.end() ? nullptr : &found->second;
    }

    void stepSoon(const GroupName &group)
    {
        boost::asio::post(context_.loop, [this, group] {
            const auto now = evloop::bootTimeNow();
            auto *move = moveOf(group);
            if (move == nullptr || !context_.lease.holds(now)) {
                return;
            }
            step(group, *move, now);
            if (move->over()) {
                moves_.erase(group);
            }
        });
    }

    void carryOut(const GroupName &group, const leadership::StoreRecord &action)
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

    /// Finds out whether a write whose answer was lost or refused took effect.
    void resolveRecord(const GroupName &group, const leadership::GroupRecord &wanted)
    {
        context_.renewStore.list(
            leadership::fleetKind(), context_.limits.storeTimeout, [this, group, wanted](const Result<StoreListing> &listing) {
                const auto now = evloop::bootTimeNow();
                auto *move = moveOf(group);
                if (move == nullptr) {
                    return;
                }
                if (!listing) {
                    move->recordFailed(false, now);
                    return;
                }
                for (const auto &object : listing->objects) {
                    const auto decoded = leadership::decodeFleetObject(object);
                    const auto *record = std::get_if<leadership::GroupRecord>(&decoded);
                    if (record == nullptr || record->group != group) {
                        continue;
                    }
                    const bool same =
                        record->primary == wanted.primary && record->generation == wanted.generation && record->moving == wanted.moving;
                    if (same && record->revision != wanted.revision) {
                        recordStored(group, wanted, record->revision);
                        return;
                    }
                    move->recordFailed(record->revision != wanted.revision, now);
                    return;
                }
                move->recordFailed(false, now);
            });
    }

    void recordStored(const GroupName &group, leadership::GroupRecord record, Revision revision)
    {
        const auto now = evloop::bootTimeNow();
        record.revision = revision;
        auto *move = moveOf(group);
        if (move == nullptr) {
            return;
        }
        move->recorded(revision, now);
        context_.views.accept(record);
        if (record.moving) {
            context_.viewsChanged(now);
            stepSoon(group);
            return;
        }
        context_.host.log(LogLevel::Info,
                          "move_ended",
                          {{"group", group.text()},
                           {"primary", record.primary.text()},
                           {"generation", static_cast<std::int64_t>(record.generation)},
                           {"took_ms", static_cast<std::int64_t>(wholeMilliseconds(now - move->startedAt()).count())}});
        moves_.erase(group);
        context_.views.renew({record}, std::min(now, context_.lease.validUntil() - leadership::viewLease));
        context_.viewsChanged(now);
        for (const auto &[instance, proxy] : registry_.all()) {
            if (instance != context_.settings.instance) {
                context_.client.announce(proxy.entry.address,
                                         fleet::Announcement{record, Milliseconds{0}},
                                         context_.limits.announceTimeout,
                                         [](const auto &) {});
            }
        }
    }

    void carryOut(const GroupName &group, const leadership::ListProxies &)
    {
        context_.renewStore.list(leadership::fleetKind(), context_.limits.storeTimeout, [this, group](const Result<StoreListing> &listing) {
            auto *move = moveOf(group);
            if (!listing || move == nullptr) {
                return;
            }
            const auto now = evloop::bootTimeNow();
            context_.takeListing(*listing, now);
            move->proxiesListed(registry_.names(), now);
            stepSoon(group);
        });
    }

    void carryOut(const GroupName &group, const leadership::HoldProxy &action)
    {
        const auto took = [this, group, proxy = action.proxy](const fleet::HoldReply &reply) {
            if (auto *move = moveOf(group)) {
                move->held(proxy, reply.acknowledged, reply.uptime, evloop::bootTimeNow());
                stepSoon(group);
            }
        };
        if (action.proxy == context_.settings.instance) {
            views_.holdThenAnswer(action.record, evloop::bootTimeNow() + action.drain, took);
            return;
        }
        const auto *proxy = registry_.find(action.proxy);
        if (proxy == nullptr) {
            return;
        }
        context_.client.announce(proxy->address,
                                 fleet::Announcement{action.record, action.drain},
                                 context_.limits.announceTimeout,
                                 [this, took](Result<fleet::HoldReply> reply) {
                                     boost::asio::post(context_.loop, [took, reply = std::move(reply)] {
                                         if (reply) {
                                             took(*reply);
                                         }
                                     });
                                 });
    }

    void carryOut(const GroupName &group, const leadership::PauseMember &action)
    {
        controls_.ask(action.member, relay::MemberVerb::Pause, action.term, [this, group, action](const ControlAnswer &answer) {
            auto *move = moveOf(group);
            if (move != nullptr && answer.account) {
                move->memberPaused({action.member, *answer.account}, action.term);
                stepSoon(group);
            }
        });
    }

    void carryOut(const GroupName &group, const leadership::AskMember &action)
    {
        controls_.ask(action.member, relay::MemberVerb::Status, 0, [this, group, name = action.member](const ControlAnswer &answer) {
            auto *move = moveOf(group);
            if (move != nullptr && answer.account) {
                move->memberStatus({name, *answer.account});
                stepSoon(group);
            }
        });
    }

    void carryOut(const GroupName &group, const leadership::PromoteMember &action)
    {
        const auto now = evloop::bootTimeNow();
        auto *move = moveOf(group);
        if (move == nullptr) {
            return;
        }
        // The call must end before another proxy can hold the lease.
        if (!context_.lease.holds(now + context_.limits.promoteTimeout)) {
            move->promoted(action.member, false, false, now);
            return;
        }
        context_.host.log(
            LogLevel::Info,
            "promote",
            {{"group", group.text()}, {"member", action.member.text()}, {"fence", static_cast<std::int64_t>(context_.lease.fence())}});
        promoter_.promote(group,
                          action.member,
                          context_.settings.instance,
                          context_.lease.fence(),
                          context_.limits.promoteTimeout,
                          [this, group, name = action.member](const Result<Success> &result) {
                              auto *pending = moveOf(group);
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
                              stepSoon(group);
                          });
    }

    void carryOut(const GroupName &, const leadership::DemoteMember &action)
    {
        controls_.ask(action.member, relay::MemberVerb::Demote, action.term, [](const ControlAnswer &) {});
    }

    void carryOut(const GroupName &, const leadership::ResumeMember &action)
    {
        controls_.ask(action.member, relay::MemberVerb::Resume, 0, [](const ControlAnswer &) {});
    }
    LeaderContext<Store> &context_;
    ProxyRegistry<Store> &registry_;
    ViewKeeper<Store> &views_;
    MemberControls<Wire, Store> &controls_;
    PrimaryWatch<Wire, Store> &watch_;
    Promoter promoter_;
    std::map<GroupName, leadership::Promotion> moves_;
};

} // namespace cardamomstep::gateway
