// Performs what the leadership decisions ask for: the lease, renewed views, probes of primaries, and moves of leadership.
#pragma once

#include "evloop/clock.h"
#include "fleet/client.h"
#include "fleet/server.h"
#include "gateway/follower.h"
#include "gateway/membercontrol.h"
#include "leadership/lease.h"
#include "leadership/promotion.h"
#include "leadership/recordjson.h"
#include "leadership/suspicion.h"
#include "leadership/viewbook.h"
#include "leadership/viewtree.h"
#include "logging/log.h"
#include "membership/rendezvous.h"
#include "relay/engine.h"
#include "settings/sessionsettings.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cardamomstep::gateway {

/// Bounds of the leadership shell.
struct LeaderShellLimits {
    Milliseconds tick{50};
    /// Time between two renewals of this proxy's view.
    Milliseconds renewInterval{150};
    Milliseconds renewTimeout{250};
    /// A view that was not renewed for this long is renewed from the store, by those that read it for others and by the rest.
    Milliseconds readerRenewAfter{350};
    Milliseconds storeRenewAfter{1200};
    Milliseconds storeRenewInterval{250};
    /// Without word of a holder for this long, the stored lease is read.
    Milliseconds leaseReadAfter{600};
    Milliseconds leaseReadInterval{400};
    /// As much time again passes on average before a proxy that reads nothing for others reads the lease.
    unsigned leaseReadOdds{8};
    Milliseconds storeTimeout{900};
    /// A store that did not answer for this long is out of this process' reach.
    Milliseconds storeSilence{2400};
    Milliseconds announceTimeout{600};
    Milliseconds promoteTimeout{1000};
    /// A primary that was not heard of for this long is probed.
    Milliseconds probeAfter{150};
    /// Each primary is asked at least this often whether it leads.
    Milliseconds probeInterval{1000};
    Milliseconds controlPatience{400};
    /// A proxy that did not renew its view for this long holds no connections.
    Milliseconds proxyLife{3000};
    /// A proxy that did not renew its view for this long is removed from the store.
    Milliseconds proxyRemoval{20'000};
    /// A tick that comes this late means that this process stood still.
    Milliseconds standstill{500};
    WatchResumeOptions watch{Milliseconds{25'000}, BackoffOptions{Milliseconds{100}, Milliseconds{1000}}};
    Milliseconds watchSettle{150};
};

/// What the shell needs of its process.
struct LeaderHost {
    relay::Engine &engine;
    const relay::MemberDirectory &directory;
    std::function<void(LogLevel level, std::string_view event, const std::vector<LogField> &fields)> log;
    /// Carries out what the engine asks for.
    std::function<void()> perform;
    /// The registered proxies changed.
    std::function<void()> proxiesChanged;
};

/// The leadership of one process; \a Store and \a Promoter are the platform's services.
template<relay::WireCodec Wire, typename Store, typename Promoter>
class LeaderShell
{
public:
    LeaderShell(boost::asio::io_context &loop, const SessionSettings &settings, std::uint64_t seed, LeaderHost host)
        : loop_(loop)
        , settings_(settings)
        , host_(std::move(host))
        , store_(loop, settings.store)
        , renewStore_(loop, settings.store)
        , promoter_(loop, settings.promotions)
        , random_(seed)
        , lease_(settings.instance, seed ^ 1U)
        , timer_(loop)
        , startedAt_(evloop::bootTimeNow())
    {
    }

    [[nodiscard]] Result<Success> start()
    {
        server_ = std::make_unique<fleet::FleetServer>(serverHandlers());
        auto listening = server_->listen(settings_.listen.peers);
        if (!listening) {
            return listening;
        }
        enroll();
        follow();
        lastTick_ = evloop::bootTimeNow();
        schedule();
        return Success{};
    }

    /// True when this proxy may act on what it believes of primaries.
    [[nodiscard]] bool viewCurrent(TimePoint now) const noexcept
    {
        return now < views_.validUntil() + Milliseconds{500};
    }

    /// The registered proxies that take sessions of others, as targets of sessions.
    [[nodiscard]] std::vector<LiveInstance> sessionTargets() const
    {
        std::vector<LiveInstance> targets;
        for (const auto &[instance, entry] : proxies_) {
            targets.push_back({instance, entry.first.failureDomain, entry.first.sessions});
        }
        return targets;
    }

    /// Gives the lease back. The entry in the store stays: an instance that stops most often starts again.
    void leave()
    {
        leaving_ = true;
        const auto now = evloop::bootTimeNow();
        if (lease_.holds(now)) {
            const auto revision = lease_.revision();
            yieldedFence_ = lease_.yield(now);
            const auto released = leadership::encodeLease(InstanceName{}, yieldedFence_, 0);
            store_.replace(leadership::leaseKey(), revision, released, limits_.storeTimeout, [](const Result<StoredObject> &) {});
            host_.log(LogLevel::Info, "lease_returned", {{"fence", static_cast<std::int64_t>(yieldedFence_)}});
        }
        lease_.resign();
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
        for (auto &[group, move] : moves_) {
            move.setMembers(host_.directory.membersOf(group));
        }
    }

private:
    using Control = MemberControl<Wire>;

    /// Calls to a proxy that fail in a row before its connection is made anew.
    static constexpr unsigned failuresToForget = 2;

    struct Watched {
        leadership::Suspicion suspicion;
        std::uint64_t generation = 0;
        TimePoint probedAt;
        bool known = false;
    };

    // The fleet's objects

    void enroll()
    {
        const auto value = leadership::encode(
            leadership::ProxyEntry{settings_.instance, settings_.listen.peers, settings_.listen.sessions, settings_.failureDomain});
        const auto key = leadership::proxyKey(settings_.instance);
        store_.create(key, value, limits_.storeTimeout, [this, key, value](const Result<StoredObject> &created) {
            if (created) {
                registered_ = created->version;
                return;
            }
            if (created.error().kind == ErrorKind::Conflict) {
                // Left by an earlier process of this instance; its address may be another one.
                store_.replace(key, Revision{}, value, limits_.storeTimeout, [this](const Result<StoredObject> &replaced) {
                    if (replaced) {
                        registered_ = replaced->version;
                    } else {
                        registerFailed_ = true;
                    }
                });
                return;
            }
            registerFailed_ = true;
        });
    }

    void follow()
    {
        FollowerHandlers handlers;
        handlers.listed = [this](const StoreListing &listing) {
            takeListing(listing, evloop::bootTimeNow());
        };
        handlers.changed = [this](const StoreChanges &changes) {
            const auto now = evloop::bootTimeNow();
            storeAnsweredAt_ = now;
            for (const auto &object : changes.changes) {
                takeObject(object, now);
            }
            proxiesChanged();
            viewsChanged(now);
        };
        handlers.failed = [](const Error &) {
        };
        follower_ = std::make_shared<Follower<Store>>(loop_,
                                                      Store(loop_, settings_.store),
                                                      leadership::fleetKind(),
                                                      limits_.watch,
                                                      limits_.watchSettle,
                                                      random_(),
                                                      std::move(handlers));
        follower_->step();
    }

    void takeListing(const StoreListing &listing, TimePoint now)
    {
        storeAnsweredAt_ = now;
        proxies_.clear();
        for (const auto &object : listing.objects) {
            takeObject(object, now);
        }
        listed_ = true;
        proxiesChanged();
        viewsChanged(now);
    }

    void proxiesChanged()
    {
        std::vector<InstanceName> names;
        for (const auto &[instance, entry] : proxies_) {
            names.push_back(instance);
        }
        tree_.setProxies(std::move(names));
        host_.proxiesChanged();
    }

    /// Reads the stored lease, which few proxies need and only while no holder is heard of.
    void readLease(TimePoint now)
    {
        const bool reads = tree_.readsStore(settings_.instance) || !listed_ || random_.below(limits_.leaseReadOdds) == 0;
        const bool needed = lease_.needsObservation() || now - grantedAt_ >= limits_.leaseReadAfter;
        if (leaseReading_ || !needed || now - leaseReadAt_ < limits_.leaseReadInterval) {
            return;
        }
        leaseReadAt_ = now;
        if (!reads && !lease_.needsObservation()) {
            return;
        }
        leaseReading_ = true;
        renewStore_.list(leadership::leaseKind(), limits_.storeTimeout, [this](const Result<StoreListing> &listing) {
            leaseReading_ = false;
            if (!listing) {
                return;
            }
            const auto later = evloop::bootTimeNow();
            storeAnsweredAt_ = later;
            if (listing->objects.empty()) {
                lease_.observe(std::nullopt, later);
            }
            for (const auto &object : listing->objects) {
                takeObject(object, later);
            }
        });
    }

    void takeObject(const StoredObject &object, TimePoint now)
    {
        auto decoded = leadership::decodeFleetObject(object);
        if (const auto *lease = std::get_if<leadership::LeaseState>(&decoded)) {
            const bool held = lease_.holds(now);
            const auto before = lease_.holder();
            lease_.observe(object.deleted ? std::nullopt : std::optional(*lease), now);
            if (before != lease_.holder()) {
                host_.log(
                    LogLevel::Info,
                    "lease_seen",
                    {{"holder", lease_.holder().text()}, {"before", before.text()}, {"fence", static_cast<std::int64_t>(lease->fence)}});
            }
            if (held && !lease_.holds(now)) {
                lostLease();
            }
        } else if (const auto *record = std::get_if<leadership::GroupRecord>(&decoded); record != nullptr && !object.deleted) {
            views_.accept(*record);
        } else if (const auto *proxy = std::get_if<leadership::ProxyEntry>(&decoded)) {
            if (object.deleted) {
                proxies_.erase(proxy->instance);
                clients_.erase(proxy->instance);
                heard_.erase(proxy->instance);
            } else {
                proxies_[proxy->instance] = {*proxy, object.version};
                heard_.try_emplace(proxy->instance, now);
            }
        }
    }

    /// Tells the engine what is believed now.
    void viewsChanged(TimePoint now)
    {
        for (const auto &record : views_.all()) {
            const auto belief = views_.belief(record.group);
            auto &told = told_[record.group];
            if (told.member != belief.member || told.generation != belief.generation || told.held != belief.held) {
                host_.log(LogLevel::Info,
                          "primary",
                          {{"group", record.group.text()},
                           {"member", belief.member.text()},
                           {"generation", static_cast<std::int64_t>(belief.generation)},
                           {"held", static_cast<std::int64_t>(belief.held ? 1 : 0)},
                           {"revision", static_cast<std::int64_t>(record.revision.value)}});
            }
            told = belief;
            host_.engine.setPrimary(record.group, belief, now);
        }
        host_.perform();
    }

    // Time

    void schedule()
    {
        timer_.expires_after(limits_.tick);
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
        if (now - lastTick_ >= limits_.standstill) {
            host_.log(LogLevel::Warning, "standstill", {{"ms", static_cast<std::int64_t>(wholeMilliseconds(now - lastTick_).count())}});
            for (auto &[group, watched] : watched_) {
                watched.suspicion.restart(watched.generation, now);
            }
        }
        lastTick_ = now;
        if (std::exchange(registerFailed_, false) && !leaving_) {
            enroll();
        }
        for (auto &[member, control] : controls_) {
            control->expire(now, limits_.controlPatience);
        }
        keepLease(now);
        if (lease_.holds(now)) {
            lead(now);
        } else {
            renewView(now);
        }
        if (!lease_.holds(now) || lease_.needsObservation()) {
            readLease(now);
        }
    }

    void keepLease(TimePoint now)
    {
        const bool wasHeld = std::exchange(heldAtTick_, lease_.holds(now));
        if (wasHeld && !heldAtTick_) {
            lostLease();
        }
        const auto write = lease_.next(now);
        if (!write) {
            return;
        }
        const auto value = leadership::encodeLease(settings_.instance, write->fence, write->renewals);
        const auto done = [this, now, write = *write](const Result<StoredObject> &stored) {
            const auto later = evloop::bootTimeNow();
            if (!stored) {
                lease_.writeFailed(stored.error().kind == ErrorKind::Conflict, later);
                return;
            }
            storeAnsweredAt_ = later;
            const bool taken = !lease_.holds(later) || write.fence == 0;
            lease_.written(stored->version, now, later);
            if (taken) {
                tookLease();
            }
        };
        if (write->expected.value == 0) {
            store_.create(leadership::leaseKey(), value, limits_.storeTimeout, done);
        } else {
            store_.replace(leadership::leaseKey(), write->expected, value, limits_.storeTimeout, done);
        }
    }

    void tookLease()
    {
        host_.log(LogLevel::Info, "lease_taken", {{"fence", static_cast<std::int64_t>(lease_.fence())}});
        recordsCurrent_ = false;
        watched_.clear();
        moves_.clear();
        readRecords();
    }

    void lostLease()
    {
        host_.log(LogLevel::Warning, "lease_lost", {{"holder", lease_.holder().text()}});
        recordsCurrent_ = false;
        moves_.clear();
        for (auto &[member, control] : controls_) {
            control->close();
        }
        controls_.clear();
    }

    /// Reads all records anew after the lease was taken.
    void readRecords()
    {
        const auto fence = lease_.fence();
        renewStore_.list(leadership::fleetKind(), limits_.storeTimeout, [this, fence](const Result<StoreListing> &listing) {
            const auto now = evloop::bootTimeNow();
            if (!lease_.holds(now) || lease_.fence() != fence) {
                return;
            }
            if (!listing) {
                readRecords();
                return;
            }
            takeListing(*listing, now);
            recordsCurrent_ = true;
        });
    }

    // Views

    void renewView(TimePoint now)
    {
        if (!renewing_ && now - renewedAt_ >= limits_.renewInterval) {
            askProxy(now);
        }
        const auto patience = tree_.readsStore(settings_.instance) ? limits_.readerRenewAfter : limits_.storeRenewAfter;
        const bool old = now - views_.asOf() >= patience;
        if (old && listed_ && registered_.value != 0 && !storeRenewing_ && now - storeRenewedAt_ >= limits_.storeRenewInterval) {
            askStore(now);
        }
    }

    /// Asks the holder, or a proxy that asks it, for its view.
    void askProxy(TimePoint now)
    {
        const auto source = proxies_.find(tree_.source(settings_.instance, lease_.holder(), renewAttempt_));
        if (source == proxies_.end()) {
            ++renewAttempt_;
            return;
        }
        renewing_ = true;
        renewedAt_ = now;
        const auto address = source->second.first.address;
        client_.renew(address, renewRequest(now), limits_.renewTimeout, [this, now, address](Result<fleet::RenewReply> reply) {
            boost::asio::post(loop_, [this, now, address, reply = std::move(reply)] {
                renewing_ = false;
                takeRenewal(now, address, reply);
            });
        });
    }

    fleet::RenewRequest renewRequest(TimePoint now)
    {
        fleet::RenewRequest request;
        request.instance = settings_.instance;
        if (storeAnsweredAt_ != TimePoint{}) {
            request.sinceStore = wholeMilliseconds(now - storeAnsweredAt_);
        }
        for (const auto &[instance, heardAt] : clients_) {
            if (now - heardAt <= limits_.proxyLife) {
                request.clients.push_back(instance);
            }
        }
        for (const auto &record : views_.all()) {
            request.sightings.push_back(sighting(record, now));
        }
        return request;
    }

    [[nodiscard]] leadership::PrimarySighting sighting(const leadership::GroupRecord &record, TimePoint now) const
    {
        leadership::PrimarySighting seen;
        seen.group = record.group;
        seen.generation = record.generation;
        const auto answered = host_.engine.lastAnswer(record.group, record.primary);
        if (answered != TimePoint{}) {
            seen.sinceAnswer = wholeMilliseconds(now - answered);
        }
        if (const auto stalled = host_.engine.writesStalledSince(record.group)) {
            seen.writesStalled = wholeMilliseconds(now - *stalled);
        }
        seen.acknowledged = host_.engine.acknowledged(record.group);
        return seen;
    }

    void takeRenewal(TimePoint askedAt, const Address &address, const Result<fleet::RenewReply> &reply)
    {
        const auto now = evloop::bootTimeNow();
        if (!reply) {
            ++renewAttempt_;
            if (++renewFailures_[address] >= failuresToForget) {
                client_.forget(address);
                renewFailures_.erase(address);
            }
            return;
        }
        renewFailures_.erase(address);
        lease_.yielded(reply->yieldedFence, now);
        lease_.heard(reply->lease, now);
        if (!reply->granted) {
            ++renewAttempt_;
            return;
        }
        renewAttempt_ = 0;
        const bool keptLease = reply->lease.left > Milliseconds{0} && reply->yieldedFence != reply->lease.fence;
        if (keptLease) {
            grantedAt_ = now;
        }
        views_.renew(reply->records, askedAt - reply->age);
        if (reply->liveProxies > 0) {
            liveProxies_ = reply->liveProxies;
        }
        viewsChanged(now);
        // A holder that the store does not answer yields to one that it does; so this process finds out whether it does.
        if (reply->holderSinceStore && *reply->holderSinceStore >= limits_.storeSilence && !storeRenewing_) {
            askStore(now);
        }
    }

    void askStore(TimePoint now)
    {
        storeRenewing_ = true;
        storeRenewedAt_ = now;
        renewStore_.list(leadership::fleetKind(), limits_.storeTimeout, [this, now](const Result<StoreListing> &listing) {
            storeRenewing_ = false;
            if (!listing) {
                return;
            }
            std::vector<leadership::GroupRecord> records;
            for (const auto &object : listing->objects) {
                const auto decoded = leadership::decodeFleetObject(object);
                if (const auto *record = std::get_if<leadership::GroupRecord>(&decoded)) {
                    records.push_back(*record);
                }
            }
            views_.renew(records, now);
            takeListing(*listing, evloop::bootTimeNow());
        });
    }

    // Calls of other proxies

    fleet::FleetHandlers serverHandlers()
    {
        fleet::FleetHandlers handlers;
        handlers.renew = [this](fleet::RenewRequest request, std::function<void(fleet::RenewReply)> answer) {
            boost::asio::post(loop_, [this, request = std::move(request), answer = std::move(answer)] { answer(grant(request)); });
        };
        handlers.announce = [this](const fleet::Announcement &announcement, std::function<void(fleet::HoldReply)> answer) {
            boost::asio::post(loop_, [this, announcement, answer = std::move(answer)] { takeAnnouncement(announcement, answer); });
        };
        return handlers;
    }

    fleet::RenewReply grant(const fleet::RenewRequest &request)
    {
        const auto now = evloop::bootTimeNow();
        yieldIfCutOff(request, now);
        fleet::RenewReply reply;
        reply.lease = lease_.word(now);
        reply.yieldedFence = yieldedFence_;
        clients_[request.instance] = now;
        for (const auto &seen : request.sightings) {
            const auto watched = watched_.find(seen.group);
            if (watched != watched_.end()) {
                watched->second.suspicion.sight(request.instance, seen, now);
            }
        }
        if (!lease_.holds(now)) {
            // A view is passed on with its age, so it ends for the asker when it ends here.
            reply.granted = now - views_.asOf() < leadership::viewLease * 3 / 4;
            reply.age = std::chrono::ceil<Milliseconds>(now - views_.asOf());
            reply.liveProxies = liveProxies_;
            reply.records = views_.current();
            return reply;
        }
        // The view that is granted must end before another proxy can take the lease.
        reply.granted = lease_.holds(now + leadership::viewLease) && recordsCurrent_ && proxies_.contains(request.instance);
        reply.holderSinceStore = wholeMilliseconds(now - storeAnsweredAt_);
        heard_[request.instance] = now;
        for (const auto &client : request.clients) {
            heard_[client] = now;
        }
        reply.records = views_.all();
        reply.liveProxies = liveProxies(now);
        return reply;
    }

    /// Gives the lease up where the store answers others but not this holder, which could order nothing.
    void yieldIfCutOff(const fleet::RenewRequest &request, TimePoint now)
    {
        const bool cutOff = now - storeAnsweredAt_ >= limits_.storeSilence;
        const bool answersSender = request.sinceStore && *request.sinceStore < limits_.storeSilence / 2;
        if (!lease_.holds(now) || !cutOff || !answersSender) {
            return;
        }
        yieldedFence_ = lease_.yield(now);
        host_.log(LogLevel::Warning,
                  "lease_yielded",
                  {{"fence", static_cast<std::int64_t>(yieldedFence_)}, {"store_answers", request.instance.text()}});
    }

    [[nodiscard]] std::uint32_t liveProxies(TimePoint now) const
    {
        return static_cast<std::uint32_t>(std::count_if(proxies_.begin(), proxies_.end(), [this, now](const auto &proxy) {
            const auto heard = heard_.find(proxy.first);
            return proxy.first == settings_.instance || (heard != heard_.end() && now - heard->second <= limits_.proxyLife);
        }));
    }

    void takeAnnouncement(const fleet::Announcement &announcement, const std::function<void(fleet::HoldReply)> &answer)
    {
        views_.accept(announcement.record);
        viewsChanged(evloop::bootTimeNow());
        holdThenAnswer(announcement.record, evloop::bootTimeNow() + announcement.drain, answer);
    }

    /// Answers once nothing with lasting effects is in flight at the group's primary, at the latest at \a until.
    void holdThenAnswer(const leadership::GroupRecord &record, TimePoint until, const std::function<void(fleet::HoldReply)> &answer)
    {
        constexpr Milliseconds step{10};
        const auto now = evloop::bootTimeNow();
        if (record.moving && now < until && host_.engine.lastingInFlight(record.group) > 0) {
            const auto timer = std::make_shared<boost::asio::steady_timer>(loop_, step);
            timer->async_wait(
                [this, record, until, answer, timer](const boost::system::error_code &) { holdThenAnswer(record, until, answer); });
            return;
        }
        if (record.moving) {
            host_.engine.seal(record.group, now);
            host_.perform();
        }
        answer(fleet::HoldReply{host_.engine.acknowledged(record.group), wholeMilliseconds(now - startedAt_)});
    }

    // The holder's work

    void lead(TimePoint now)
    {
        if (!recordsCurrent_ || now < lease_.takenAt()) {
            return;
        }
        views_.renew(views_.all(), std::min(now, lease_.validUntil() - leadership::viewLease));
        viewsChanged(now);
        // Views that an earlier holder granted have ended by then.
        const bool mayMove = now - lease_.takenAt() >= leadership::viewLease;
        for (const auto &[group, config] : host_.engine.routes().groups()) {
            const auto *record = views_.find(group);
            if (record == nullptr) {
                bootstrap(group, now);
                continue;
            }
            watch(*record, now);
            if (mayMove && !moves_.contains(group)) {
                considerMove(*record, now);
            }
        }
        for (auto move = moves_.begin(); move != moves_.end();) {
            step(move->first, move->second, now);
            move = move->second.over() ? moves_.erase(move) : std::next(move);
        }
        keepControls(now);
        removeDead(now);
    }

    /// Keeps a connection to each member, so that a move does not begin with opening them.
    void keepControls(TimePoint now)
    {
        if (now - controlsKeptAt_ < limits_.probeInterval) {
            return;
        }
        controlsKeptAt_ = now;
        for (const auto &[name, member] : host_.directory.all()) {
            const auto control = controls_.find(name);
            if (control == controls_.end() || !control->second->connected()) {
                ask(member, relay::MemberVerb::Status, 0, [](const ControlAnswer &) {});
            }
        }
        std::erase_if(controls_, [this](const auto &control) {
            const bool gone = host_.directory.find(control.first) == nullptr && control.second->pending() == 0;
            if (gone) {
                control.second->close();
            }
            return gone;
        });
    }

    /// Records the primary of a group for the first time: the one member that registered as such. Nobody was ever promoted before.
    void bootstrap(const GroupName &group, TimePoint now)
    {
        auto &triedAt = bootstrapTried_[group];
        if (now - triedAt < limits_.controlPatience) {
            return;
        }
        std::vector<MemberName> claimants;
        for (const auto &member : host_.directory.membersOf(group)) {
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
                readRecords();
            }
        };
        store_.create(leadership::recordKey(group), leadership::encode(record), limits_.storeTimeout, done);
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
        watched.suspicion.sight(settings_.instance, sighting(record, now), now);
        const auto answered = host_.engine.lastAnswer(record.group, record.primary);
        const bool quiet = now - answered >= limits_.probeAfter && now - watched.probedAt >= limits_.probeAfter;
        if (!quiet && now - watched.probedAt < limits_.probeInterval) {
            return;
        }
        const auto *member = host_.directory.find(record.primary);
        if (member == nullptr) {
            return;
        }
        watched.probedAt = now;
        const auto generation = record.generation;
        ask(*member, relay::MemberVerb::Status, 0, [this, group = record.group, generation](const ControlAnswer &answer) {
            const auto found = watched_.find(group);
            if (!answer.answered || found == watched_.end() || found->second.generation != generation) {
                return;
            }
            found->second.suspicion.probed(!answer.account || answer.account->primary, evloop::bootTimeNow());
        });
    }

    void considerMove(const leadership::GroupRecord &record, TimePoint now)
    {
        std::optional<leadership::MoveReason> reason;
        const auto *member = host_.directory.find(record.primary);
        if (record.moving) {
            reason = leadership::MoveReason::Resumed;
        } else if (member != nullptr && member->draining && hasSuccessor(record)) {
            reason = leadership::MoveReason::Leaving;
        } else {
            reason = watched_[record.group].suspicion.judge(now);
        }
        if (!reason) {
            return;
        }
        host_.log(LogLevel::Warning,
                  "move_started",
                  {{"group", record.group.text()},
                   {"primary", record.primary.text()},
                   {"reason", leadership::toText(*reason)},
                   {"generation", static_cast<std::int64_t>(record.generation)},
                   {"fence", static_cast<std::int64_t>(lease_.fence())}});
        auto &move = moves_.emplace(record.group, leadership::Promotion(record, *reason, now)).first->second;
        move.setMembers(host_.directory.membersOf(record.group));
    }

    [[nodiscard]] bool hasSuccessor(const leadership::GroupRecord &record) const
    {
        const auto members = host_.directory.membersOf(record.group);
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
        boost::asio::post(loop_, [this, group] {
            const auto now = evloop::bootTimeNow();
            auto *move = moveOf(group);
            if (move == nullptr || !lease_.holds(now)) {
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
        store_.replace(leadership::recordKey(group),
                       wanted.revision,
                       leadership::encode(wanted),
                       limits_.storeTimeout,
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
        renewStore_.list(leadership::fleetKind(), limits_.storeTimeout, [this, group, wanted](const Result<StoreListing> &listing) {
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
        views_.accept(record);
        if (record.moving) {
            viewsChanged(now);
            stepSoon(group);
            return;
        }
        host_.log(LogLevel::Info,
                  "move_ended",
                  {{"group", group.text()},
                   {"primary", record.primary.text()},
                   {"generation", static_cast<std::int64_t>(record.generation)},
                   {"took_ms", static_cast<std::int64_t>(wholeMilliseconds(now - move->startedAt()).count())}});
        moves_.erase(group);
        views_.renew({record}, std::min(now, lease_.validUntil() - leadership::viewLease));
        viewsChanged(now);
        for (const auto &[instance, entry] : proxies_) {
            if (instance != settings_.instance) {
                client_.announce(
                    entry.first.address, fleet::Announcement{record, Milliseconds{0}}, limits_.announceTimeout, [](const auto &) {});
            }
        }
    }

    void carryOut(const GroupName &group, const leadership::ListProxies &)
    {
        renewStore_.list(leadership::fleetKind(), limits_.storeTimeout, [this, group](const Result<StoreListing> &listing) {
            auto *move = moveOf(group);
            if (!listing || move == nullptr) {
                return;
            }
            const auto now = evloop::bootTimeNow();
            takeListing(*listing, now);
            std::vector<InstanceName> names;
            for (const auto &[instance, entry] : proxies_) {
                names.push_back(instance);
            }
            move->proxiesListed(names, now);
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
        if (action.proxy == settings_.instance) {
            holdThenAnswer(action.record, evloop::bootTimeNow() + action.drain, took);
            return;
        }
        const auto proxy = proxies_.find(action.proxy);
        if (proxy == proxies_.end()) {
            return;
        }
        client_.announce(proxy->second.first.address,
                         fleet::Announcement{action.record, action.drain},
                         limits_.announceTimeout,
                         [this, took](Result<fleet::HoldReply> reply) {
                             boost::asio::post(loop_, [took, reply = std::move(reply)] {
                                 if (reply) {
                                     took(*reply);
                                 }
                             });
                         });
    }

    void carryOut(const GroupName &group, const leadership::PauseMember &action)
    {
        const auto *member = host_.directory.find(action.member);
        if (member == nullptr) {
            return;
        }
        ask(*member, relay::MemberVerb::Pause, action.term, [this, group, action](const ControlAnswer &answer) {
            auto *move = moveOf(group);
            if (move != nullptr && answer.account) {
                move->memberPaused({action.member, *answer.account}, action.term);
                stepSoon(group);
            }
        });
    }

    void carryOut(const GroupName &group, const leadership::AskMember &action)
    {
        const auto *member = host_.directory.find(action.member);
        if (member == nullptr) {
            return;
        }
        ask(*member, relay::MemberVerb::Status, 0, [this, group, name = action.member](const ControlAnswer &answer) {
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
        if (!lease_.holds(now + limits_.promoteTimeout)) {
            move->promoted(action.member, false, false, now);
            return;
        }
        host_.log(LogLevel::Info,
                  "promote",
                  {{"group", group.text()}, {"member", action.member.text()}, {"fence", static_cast<std::int64_t>(lease_.fence())}});
        promoter_.promote(group,
                          action.member,
                          settings_.instance,
                          lease_.fence(),
                          limits_.promoteTimeout,
                          [this, group, name = action.member](const Result<Success> &result) {
                              auto *pending = moveOf(group);
                              if (pending == nullptr) {
                                  return;
                              }
                              const bool refused = !result && result.error().kind == ErrorKind::Conflict;
                              if (!result) {
                                  host_.log(LogLevel::Warning,
                                            "promote_failed",
                                            {{"group", group.text()}, {"member", name.text()}, {"fault", result.error().description}});
                              }
                              pending->promoted(name, static_cast<bool>(result), refused, evloop::bootTimeNow());
                              stepSoon(group);
                          });
    }

    void carryOut(const GroupName &, const leadership::DemoteMember &action)
    {
        if (const auto *member = host_.directory.find(action.member)) {
            ask(*member, relay::MemberVerb::Demote, action.term, [](const ControlAnswer &) {});
        }
    }

    void carryOut(const GroupName &, const leadership::ResumeMember &action)
    {
        if (const auto *member = host_.directory.find(action.member)) {
            ask(*member, relay::MemberVerb::Resume, 0, [](const ControlAnswer &) {});
        }
    }

    void ask(const relay::MemberEntry &member, relay::MemberVerb verb, std::uint64_t term, typename Control::Handler done)
    {
        auto &control = controls_[member.name];
        if (!control || control->member().address != member.address) {
            if (control) {
                control->close();
            }
            control = std::make_shared<Control>(loop_, member);
        }
        relay::MemberRequest request;
        request.verb = verb;
        request.text = term == 0 ? std::string() : std::to_string(term);
        control->ask(std::move(request), std::move(done));
    }

    /// Removes proxies from the store that are gone for good.
    void removeDead(TimePoint now)
    {
        for (const auto &[instance, entry] : proxies_) {
            const auto heard = heard_.find(instance);
            if (instance == settings_.instance || heard == heard_.end() || now - heard->second < limits_.proxyRemoval) {
                continue;
            }
            heard->second = now;
            store_.remove(leadership::proxyKey(instance), entry.second, limits_.storeTimeout, [](const Result<Success> &) {});
            host_.log(LogLevel::Info, "proxy_removed", {{"proxy", instance.text()}});
        }
    }

    boost::asio::io_context &loop_;
    SessionSettings settings_;
    LeaderHost host_;
    LeaderShellLimits limits_;
    Store store_;
    /// Reads that must not wait behind a write.
    Store renewStore_;
    Promoter promoter_;
    Random random_;
    leadership::HolderLease lease_;
    leadership::ViewBook views_;
    boost::asio::steady_timer timer_;
    TimePoint startedAt_;
    TimePoint lastTick_;
    fleet::FleetClient client_;
    std::unique_ptr<fleet::FleetServer> server_;
    std::shared_ptr<Follower<Store>> follower_;
    /// Registered proxies and the revisions of their entries.
    std::map<InstanceName, std::pair<leadership::ProxyEntry, Revision>> proxies_;
    /// When each proxy last renewed its view here, or was first seen.
    std::map<InstanceName, TimePoint> heard_;
    std::map<GroupName, relay::PrimaryBelief> told_;
    std::map<GroupName, Watched> watched_;
    std::map<GroupName, leadership::Promotion> moves_;
    std::map<GroupName, TimePoint> bootstrapTried_;
    std::map<MemberName, std::shared_ptr<Control>> controls_;
    /// Revision of this proxy's own entry; 0 until it is registered.
    Revision registered_;
    bool registerFailed_ = false;
    bool listed_ = false;
    /// The records were read after the lease was taken.
    bool recordsCurrent_ = false;
    bool heldAtTick_ = false;
    bool leaving_ = false;
    bool stopped_ = false;
    bool renewing_ = false;
    TimePoint renewedAt_;
    /// Renewals in a row that failed, by proxy.
    std::map<Address, unsigned> renewFailures_;
    /// Renewals in a row that brought no view.
    std::size_t renewAttempt_ = 0;
    leadership::ViewTree tree_;
    /// Proxies that renew their views here, and when they last did.
    std::map<InstanceName, TimePoint> clients_;
    /// Live proxies as last told.
    std::uint32_t liveProxies_ = 0;
    /// Last word of a holder that keeps its lease.
    TimePoint grantedAt_;
    TimePoint leaseReadAt_;
    bool leaseReading_ = false;
    bool storeRenewing_ = false;
    TimePoint storeRenewedAt_;
    TimePoint controlsKeptAt_;
    /// Last answer of the store to this process.
    TimePoint storeAnsweredAt_;
    /// Fencing token of the lease that this process gave up by word; 0 for none.
    std::uint64_t yieldedFence_ = 0;
};

} // namespace cardamomstep::gateway
