// Watches the configuration and the members of all groups in the store.
#pragma once

#include "base/hash.h"
#include "evloop/clock.h"
#include "gateway/catalogrelay.h"
#include "gateway/storewatcher.h"
#include "gateway/unreadableentries.h"
#include "logging/log.h"
#include "relay/directory.h"
#include "relay/routingtable.h"
#include "settings/sessionsettings.h"
#include "store/storecalls.h"
#include "store/storeepochs.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace cardamomstep::gateway {

/// Limits of a CatalogWatcher.
struct CatalogLimits {
    /// Longest wait of one watch for the configuration; at most two thirds of the configuration deadline are used, to leave time for
    /// failed calls.
    Milliseconds configurationWait{2000};
    /// Longest wait of one watch for members. A watch may miss changes, which then arrive only with the next call.
    Milliseconds memberWait{4000};
    /// Longest wait of both watches while other processes report their catalog revisions.
    Milliseconds peerNotifiedWait{25'000};
    /// Time after the last such report until the watches return to their shorter waits.
    Milliseconds peerNotifiedFor{1500};
    /// Delay before the next watch after one that brought changes.
    Milliseconds watchSettleDelay{250};
    BackoffOptions watchBackoff{Milliseconds{60}, Milliseconds{800}};
};

/// Callbacks of a CatalogWatcher.
struct CatalogHandlers {
    std::function<void(const relay::Configuration &configuration, Revision revision)> configured;
    std::function<void()> membersChanged;
    /// A call to the store for \a dependency ("configuration" or "members") failed.
    std::function<void(std::string_view dependency)> storeFailed;
    std::function<void(LogLevel level, std::string_view event, const std::vector<LogField> &fields)> log;
    /// An entry of \a dependency cannot be read.
    std::function<void(std::string_view dependency)> entryUnreadable;
};

/// Maintains the directory of members and reports configurations; \a Store is the platform's object store.
template<typename Store>
class CatalogWatcher
{
public:
    CatalogWatcher(boost::asio::io_context &loop,
                   const SessionSettings &settings,
                   std::shared_ptr<StoreEpochs> epochs,
                   std::shared_ptr<StoreCalls> calls,
                   CatalogRelay<StoreWatcher<Store>> &relay,
                   relay::MemberDirectory &directory,
                   CatalogHandlers handlers)
        : loop_(loop)
        , settings_(settings)
        , epochs_(std::move(epochs))
        , calls_(std::move(calls))
        , relay_(relay)
        , directory_(directory)
        , handlers_(std::move(handlers))
        , unreadable_({handlers_.log, handlers_.entryUnreadable})
    {
    }

    /// Creates both watchers, which are paused until CatalogRelay resumes them.
    void start()
    {
        watchConfiguration();
        watchMembers();
        // Callers are served as soon as both are known: after a loss of power of all proxies nobody could pass them on at first.
        configuration_->listOnce();
        members_->listOnce();
    }

    /// Handles the start of watching after a time in which this process did not notice outages of the store.
    void onStoreWatched()
    {
        directory_.storeFailed(evloop::bootTimeNow());
    }

    /// Lists the catalog again after \a delay, because the store came back from an older copy. Members write their entries again, so
    /// missing ones are kept for a while.
    void onStoreEpoch(Milliseconds delay)
    {
        directory_.storeFailed(evloop::bootTimeNow());
        configuration_->listAgain(delay);
        members_->listAgain(delay);
    }

    /// Drops members whose removal is trusted by now, and sets the longest wait of the watches.
    ///
    /// Waits are long while other processes would report missed changes. Some processes watch with \a shortWaits on behalf of all.
    void tick(bool shortWaits)
    {
        if (directory_.expire(evloop::bootTimeNow())) {
            handlers_.membersChanged();
        }
        const bool peerNotified = !shortWaits && relay_.lastContactAt() != TimePoint{}
            && evloop::bootTimeNow() - relay_.lastContactAt() < limits_.peerNotifiedFor;
        if (peerNotified == peerNotified_) {
            return;
        }
        peerNotified_ = peerNotified;
        configuration_->setWait(peerNotified ? limits_.peerNotifiedWait : configurationWait());
        members_->setWait(peerNotified ? limits_.peerNotifiedWait : limits_.memberWait);
    }

    /// True once the members were listed.
    [[nodiscard]] bool membersListed() const noexcept
    {
        return membersListed_;
    }

private:
    static constexpr std::string_view membersDependency = "members";

    [[nodiscard]] Milliseconds configurationWait() const noexcept
    {
        return std::min(limits_.configurationWait, settings_.configurationDeadline * 2 / 3);
    }

    WatchResumeOptions watchOptions(Milliseconds wait) const
    {
        return {wait, limits_.watchBackoff};
    }

    void watchConfiguration()
    {
        StoreWatcherHandlers handlers;
        handlers.listed = [this](const StoreListing &listing) {
            applyConfigurations(listing.objects);
        };
        handlers.changed = [this](const StoreChanges &changes) {
            applyConfigurations(changes.changes);
        };
        handlers.failed = [this](const Error &error) {
            storeFailed("configuration", error);
        };
        handlers.relayed = [this](const ObjectUpdate &update) {
            std::visit([this](const auto &relayed) { applyConfigurationObjects(objectsOf(relayed)); }, update);
        };
        handlers.mayBeRelayed = [](const StoredObject &object) {
            return object.name.text() == Store::configurationName;
        };
        configuration_ = std::make_shared<StoreWatcher<Store>>(loop_,
                                                               Store(loop_, settings_.store, epochs_, calls_),
                                                               ObjectKind{Store::configurationKind},
                                                               watchOptions(configurationWait()),
                                                               limits_.watchSettleDelay,
                                                               stableHash(settings_.instance.text()),
                                                               std::move(handlers));
        configuration_->pause();
        relay_.attach(CatalogPart::Configuration, configuration_);
    }

    [[nodiscard]] static const std::vector<StoredObject> &objectsOf(const StoreListing &listing) noexcept
    {
        return listing.objects;
    }

    [[nodiscard]] static const std::vector<StoredObject> &objectsOf(const StoreChanges &changes) noexcept
    {
        return changes.changes;
    }

    void applyConfigurations(const std::vector<StoredObject> &objects)
    {
        applyConfigurationObjects(objects);
        storeReplied("configuration");
    }

    void applyConfigurationObjects(const std::vector<StoredObject> &objects)
    {
        for (const auto &object : objects) {
            if (object.name.text() == Store::configurationName && !object.deleted) {
                applyConfiguration(object);
            }
        }
    }

    void applyConfiguration(const StoredObject &object)
    {
        const auto configuration = Store::decodeConfiguration(object);
        if (!configuration) {
            handlers_.log(LogLevel::Error, "configuration_unreadable", {{"fault", configuration.error().description}});
            return;
        }
        handlers_.configured(*configuration, object.version);
    }

    void watchMembers()
    {
        StoreWatcherHandlers handlers;
        handlers.listed = [this](const StoreListing &listing) {
            applyMembers(listing);
            storeReplied(membersDependency);
        };
        handlers.changed = [this](const StoreChanges &changes) {
            applyMembers(changes);
            storeReplied(membersDependency);
        };
        handlers.relayed = [this](const ObjectUpdate &update) {
            const auto *changes = std::get_if<StoreChanges>(&update);
            const bool mayRemove = changes == nullptr
                || std::any_of(changes->changes.begin(), changes->changes.end(), [](const auto &object) { return object.deleted; });
            if (mayRemove) {
                // Relayed removals do not reveal an outage of the store, in which the entries of live members expire.
                directory_.storeFailed(evloop::bootTimeNow());
            }
            std::visit([this](const auto &relayed) { applyMembers(relayed); }, update);
        };
        handlers.failed = [this](const Error &error) {
            directory_.storeFailed(evloop::bootTimeNow());
            storeFailed(membersDependency, error);
        };
        members_ = std::make_shared<StoreWatcher<Store>>(loop_,
                                                         Store(loop_, settings_.store, epochs_, calls_),
                                                         ObjectKind{Store::memberKind},
                                                         watchOptions(limits_.memberWait),
                                                         limits_.watchSettleDelay,
                                                         stableHash(settings_.instance.text(), 1),
                                                         std::move(handlers));
        members_->pause();
        relay_.attach(CatalogPart::Members, members_);
    }

    /// Decodes a member's entry; one that cannot be read names no member.
    std::optional<relay::MemberEntry> decodeMember(const StoredObject &object)
    {
        auto entry = object.deleted ? std::nullopt : Store::decodeMember(object);
        unreadable_.onEntry(membersDependency, object, entry.has_value());
        return entry;
    }

    void applyMembers(const StoreListing &listing)
    {
        unreadable_.onUnnamed(membersDependency, listing.unreadable, listing.revision);
        std::vector<relay::MemberEntry> entries;
        std::vector<MemberName> unreadable;
        for (const auto &object : listing.objects) {
            if (auto entry = decodeMember(object)) {
                entries.push_back(std::move(*entry));
            } else {
                unreadable.emplace_back(object.name.text());
            }
        }
        const auto now = evloop::bootTimeNow();
        directory_.replaceAll(entries, members_->completeAsOf(now), now);
        for (const auto &name : unreadable) {
            directory_.drop(name);
        }
        membersListed_ = true;
        handlers_.membersChanged();
    }

    void applyMembers(const StoreChanges &changes)
    {
        unreadable_.onUnnamed(membersDependency, changes.unreadable, changes.revision);
        for (const auto &object : changes.changes) {
            applyMember(object);
        }
        if (!changes.changes.empty()) {
            handlers_.membersChanged();
        }
    }

    void applyMember(const StoredObject &object)
    {
        const MemberName name{object.name.text()};
        const auto entry = decodeMember(object);
        const bool known = directory_.find(name) != nullptr;
        if (object.deleted) {
            if (peerNotified_) {
                // A long watch does not reveal an outage of the store, in which the entries of live members expire.
                directory_.storeFailed(evloop::bootTimeNow());
            }
            directory_.remove(name, evloop::bootTimeNow());
        } else if (entry) {
            const auto *previous = directory_.find(name);
            const bool changed = previous == nullptr || !(*previous == *entry);
            const auto now = evloop::bootTimeNow();
            directory_.put(*entry, members_->completeAsOf(now), now);
            if (!changed) {
                return;
            }
        } else {
            directory_.drop(name);
            if (!known) {
                return;
            }
        }
        handlers_.log(LogLevel::Info,
                      "member_entry",
                      {{"member", name.text()},
                       {"group", entry ? entry->group.text() : std::string("-")},
                       {"state", object.deleted ? "gone" : (entry ? (entry->draining ? "draining" : "ready") : "unreadable")},
                       {"claims_primary", static_cast<std::int64_t>(entry && entry->claimsPrimary ? 1 : 0)},
                       {"revision", static_cast<std::int64_t>(object.version.value)}});
    }

    void storeReplied(std::string_view dependency)
    {
        auto &lost = lostDependencies_[std::string(dependency)];
        if (std::exchange(lost, false)) {
            handlers_.log(LogLevel::Info, "dependency_regained", {{"dependency", dependency}});
        }
    }

    void storeFailed(std::string_view dependency, const Error &error)
    {
        auto &lost = lostDependencies_[std::string(dependency)];
        if (!std::exchange(lost, true)) {
            handlers_.log(LogLevel::Warning, "dependency_lost", {{"dependency", dependency}, {"fault", error.description}});
        }
        handlers_.storeFailed(dependency);
    }

    boost::asio::io_context &loop_;
    const SessionSettings &settings_;
    std::shared_ptr<StoreEpochs> epochs_;
    std::shared_ptr<StoreCalls> calls_;
    CatalogRelay<StoreWatcher<Store>> &relay_;
    CatalogLimits limits_;
    relay::MemberDirectory &directory_;
    CatalogHandlers handlers_;
    UnreadableEntries unreadable_;
    bool membersListed_ = false;
    /// Other processes would report changes that this process' watches missed, so the watches have long waits.
    bool peerNotified_ = false;
    std::shared_ptr<StoreWatcher<Store>> configuration_;
    std::shared_ptr<StoreWatcher<Store>> members_;
    std::unordered_map<std::string, bool> lostDependencies_;
};

} // namespace cardamomstep::gateway
