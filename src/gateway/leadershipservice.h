// The leadership of one process: follows the fleet's objects, and gives each part its turn.
#pragma once

#include "evloop/clock.h"
#include "fleet/server.h"
#include "gateway/leadershipcontext.h"
#include "gateway/leasemanager.h"
#include "gateway/membercontrolconnections.h"
#include "gateway/primarychanges.h"
#include "gateway/primarymonitor.h"
#include "gateway/primarytablesync.h"
#include "gateway/proxymetrics.h"
#include "gateway/proxyregistry.h"
#include "gateway/storewatcher.h"
#include "leadership/recordjson.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace cardamomstep::gateway {

/// The leadership of one process; \a Store and \a Promoter are the platform's services.
template<relay::WireCodec Wire, typename Store, typename Promoter>
class LeaderShell
{
public:
    LeaderShell(boost::asio::io_context &loop, const SessionSettings &settings, std::uint64_t seed, const LeaderHost &host)
        : context_{.loop = loop,
                   .settings = settings,
                   .host = host,
                   .limits = {},
                   .store = Store(loop, settings.store),
                   .renewStore = Store(loop, settings.store),
                   .random = Random(seed),
                   .lease = leadership::HolderLease(settings.instance, seed ^ 1U),
                   .startedAt = evloop::bootTimeNow()}
        , registry_(context_)
        , lease_(context_,
                 {[this] { tookLease(); },
                  [this] {
                      lostLease();
                  }})
        , views_(context_, lease_, registry_, {[this](const fleet::RenewRequest &request, TimePoint now) {
                     watch_.sighted(request, now);
                 }})
        , controls_(context_)
        , watch_(context_, controls_)
        , moves_(context_, registry_, views_, controls_, watch_)
        , timer_(loop)
    {
        context_.takeListing = [this](const StoreListing &listing, TimePoint now) {
            takeListing(listing, now);
        };
        context_.takeObject = [this](const StoredObject &object, TimePoint now) {
            takeObject(object, now);
        };
        context_.viewsChanged = [this](TimePoint now) {
            viewsChanged(now);
        };
    }

    [[nodiscard]] Result<Success> start()
    {
        server_ = std::make_unique<fleet::FleetServer>(serverHandlers());
        auto listening = server_->listen(context_.settings.listen.peers);
        if (!listening) {
            return listening;
        }
        registry_.enroll();
        follow();
        lastTick_ = evloop::bootTimeNow();
        schedule();
        return Success{};
    }

    /// True when this proxy may act on what it believes of primaries.
    [[nodiscard]] bool viewCurrent(TimePoint now) const noexcept
    {
        return now < context_.views.validUntil() + Milliseconds{500};
    }

    /// True when this proxy watches the catalog closely so that others need not.
    [[nodiscard]] bool watchesCatalogForOthers() const
    {
        return context_.lease.holds(evloop::bootTimeNow()) || context_.tree.watchesCatalog(context_.settings.instance);
    }

    /// What the metrics page shows.
    [[nodiscard]] LeadershipGauges gauges(TimePoint now) const
    {
        return {context_.lease.holds(now),
                context_.lease.holder(),
                wholeMilliseconds(context_.views.validUntil() - now),
                static_cast<std::uint32_t>(registry_.all().size())};
    }

    /// The registered proxies that take sessions of others, as targets of sessions.
    [[nodiscard]] std::vector<LiveInstance> sessionTargets() const
    {
        return registry_.sessionTargets();
    }

    /// Gives the lease back. The entry in the store stays: an instance that stops most often starts again.
    void leave()
    {
        leaving_ = true;
        lease_.leave();
    }

    void stop()
    {
        stopped_ = true;
        timer_.cancel();
        if (follower_) {
            follower_->stop();
        }
        server_->stop();
    }

    /// Takes in that the directory of members changed.
    void membersChanged()
    {
        moves_.membersChanged();
    }

private:
    // The fleet's objects

    void follow()
    {
        FollowerHandlers handlers;
        handlers.listed = [this](const StoreListing &listing) {
            takeListing(listing, evloop::bootTimeNow());
        };
        handlers.changed = [this](const StoreChanges &changes) {
            const auto now = evloop::bootTimeNow();
            context_.storeAnsweredAt = now;
            for (const auto &object : changes.changes) {
                takeObject(object, now);
            }
            proxiesChanged();
            viewsChanged(now);
        };
        handlers.failed = [](const Error &) {
        };
        follower_ = std::make_shared<Follower<Store>>(context_.loop,
                                                      Store(context_.loop, context_.settings.store),
                                                      leadership::fleetKind(),
                                                      context_.limits.watch,
                                                      context_.limits.watchSettle,
                                                      context_.random(),
                                                      std::move(handlers));
        follower_->step();
    }

    void takeListing(const StoreListing &listing, TimePoint now)
    {
        context_.storeAnsweredAt = now;
        registry_.clear();
        for (const auto &object : listing.objects) {
            takeObject(object, now);
        }
        listed_ = true;
        proxiesChanged();
        viewsChanged(now);
    }

    void proxiesChanged()
    {
        context_.tree.setProxies(registry_.names());
        context_.host.proxiesChanged();
    }

    void takeObject(const StoredObject &object, TimePoint now)
    {
        auto decoded = leadership::decodeFleetObject(object);
        if (const auto *lease = std::get_if<leadership::LeaseState>(&decoded)) {
            lease_.observe(object.deleted ? std::nullopt : std::optional(*lease), now);
        } else if (const auto *record = std::get_if<leadership::GroupRecord>(&decoded); record != nullptr && !object.deleted) {
            context_.views.accept(*record);
        } else if (const auto *proxy = std::get_if<leadership::ProxyEntry>(&decoded)) {
            takeProxy(*proxy, object, now);
        }
    }

    void takeProxy(const leadership::ProxyEntry &proxy, const StoredObject &object, TimePoint now)
    {
        if (object.deleted) {
            registry_.remove(proxy.instance);
            views_.forget(proxy.instance);
        } else {
            registry_.put(proxy, object.version, now);
        }
    }

    /// Tells the engine what is believed now.
    void viewsChanged(TimePoint now)
    {
        for (const auto &record : context_.views.all()) {
            const auto belief = context_.views.belief(record.group);
            auto &told = told_[record.group];
            if (told.member != belief.member || told.generation != belief.generation || told.held != belief.held) {
                context_.host.log(LogLevel::Info,
                                  "primary",
                                  {{"group", record.group.text()},
                                   {"member", belief.member.text()},
                                   {"generation", static_cast<std::int64_t>(belief.generation)},
                                   {"held", static_cast<std::int64_t>(belief.held ? 1 : 0)},
                                   {"revision", static_cast<std::int64_t>(record.revision.value)}});
            }
            told = belief;
            context_.host.engine.setPrimary(record.group, belief, now);
        }
        context_.host.perform();
    }

    // Time

    void schedule()
    {
        timer_.expires_after(context_.limits.tick);
        timer_.async_wait([this](const boost::system::error_code &error) {
            if (error || stopped_) {
                return;
            }
            tick(evloop::bootTimeNow());
            schedule();
        });
    }

    void tick(TimePoint now)
    {
        if (now - lastTick_ >= context_.limits.standstill) {
            const auto stood = wholeMilliseconds(now - lastTick_);
            context_.host.log(LogLevel::Warning, "standstill", {{"ms", static_cast<std::int64_t>(stood.count())}});
            watch_.restart(now);
        }
        lastTick_ = now;
        if (!leaving_) {
            registry_.retry();
        }
        controls_.expire(now);
        lease_.keep(now);
        const auto &lease = context_.lease;
        if (lease.holds(now)) {
            lead(now);
        } else {
            views_.renew(now, listed_);
        }
        if (!lease.holds(now) || lease.needsObservation()) {
            lease_.read(now, listed_);
        }
    }

    // Calls of other proxies

    fleet::FleetHandlers serverHandlers()
    {
        auto &loop = context_.loop;
        fleet::FleetHandlers handlers;
        handlers.renew = [this, &loop](fleet::RenewRequest request, std::function<void(fleet::RenewReply)> answer) {
            boost::asio::post(loop, [this, request = std::move(request), answer = std::move(answer)] { answer(views_.grant(request)); });
        };
        handlers.announce = [this, &loop](const fleet::Announcement &announcement, std::function<void(fleet::HoldReply)> answer) {
            boost::asio::post(loop, [this, announcement, answer = std::move(answer)] { views_.takeAnnouncement(announcement, answer); });
        };
        return handlers;
    }

    // The holder's work

    void tookLease()
    {
        registry_.restart(evloop::bootTimeNow());
        watch_.clear();
        moves_.clear();
    }

    void lostLease()
    {
        moves_.clear();
        controls_.closeAll();
    }

    void lead(TimePoint now)
    {
        const auto &lease = context_.lease;
        if (!lease_.recordsCurrent() || now < lease.takenAt()) {
            return;
        }
        auto &views = context_.views;
        views.renew(views.all(), std::min(now, lease.validUntil() - leadership::viewLease));
        viewsChanged(now);
        // Views that an earlier holder granted have ended by then.
        const bool viewsEnded = now - std::max(lease.takenAt(), registry_.removedAt()) >= leadership::viewLease;
        const bool mayMove = viewsEnded && now - context_.startedAt >= context_.limits.membersSettle;
        for (const auto &[group, config] : context_.host.engine.routes().groups()) {
            const auto *record = views.find(group);
            if (record == nullptr) {
                bootstrap(group, now);
                continue;
            }
            watch_.watch(*record, now);
            if (mayMove && !moves_.contains(group)) {
                moves_.consider(*record, now);
            }
        }
        moves_.stepAll(now);
        controls_.keepOpen(now);
        registry_.removeDead(now);
    }

    /// Records the primary of a group for the first time: the one member that registered as such. Nobody was ever promoted before.
    void bootstrap(const GroupName &group, TimePoint now)
    {
        auto &triedAt = bootstrapTried_[group];
        if (now - triedAt < context_.limits.controlPatience) {
            return;
        }
        std::vector<MemberName> claimants;
        for (const auto &member : context_.host.directory.membersOf(group)) {
            if (member.claimsPrimary) {
                claimants.push_back(member.name);
            }
        }
        if (claimants.size() != 1) {
            return;
        }
        triedAt = now;
        leadership::GroupRecord record;
        record.group = group;
        record.primary = claimants.front();
        record.generation = 1;
        const auto done = [this](const Result<StoredObject> &created) {
            if (created) {
                takeObject(*created, evloop::bootTimeNow());
            } else {
                // It may exist although the answer was lost.
                lease_.readRecords();
            }
        };
        context_.store.create(leadership::recordKey(group), leadership::encode(record), context_.limits.storeTimeout, done);
    }

    LeaderContext<Store> context_;
    ProxyRegistry<Store> registry_;
    LeaseKeeper<Store> lease_;
    ViewKeeper<Store> views_;
    MemberControls<Wire, Store> controls_;
    PrimaryWatch<Wire, Store> watch_;
    GroupMoves<Wire, Store, Promoter> moves_;
    boost::asio::steady_timer timer_;
    TimePoint lastTick_;
    std::unique_ptr<fleet::FleetServer> server_;
    std::shared_ptr<Follower<Store>> follower_;
    /// What the engine was told of each group.
    std::map<GroupName, relay::PrimaryBelief> told_;
    std::map<GroupName, TimePoint> bootstrapTried_;
    /// The fleet was listed at least once.
    bool listed_ = false;
    bool leaving_ = false;
    bool stopped_ = false;
};

} // namespace cardamomstep::gateway
