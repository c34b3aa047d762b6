// Follows the configuration and the members of all groups in the store.
#pragma once

#include "base/hash.h"
#include "evloop/clock.h"
#include "gateway/storewatcher.h"
#include "logging/log.h"
#include "relay/directory.h"
#include "relay/routingtable.h"
#include "settings/sessionsettings.h"
#include "store/catalogrevisions.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cardamomstep::gateway {

/// Bounds of a catalog follower.
struct CatalogLimits {
    /// Longest wait of one watch for the configuration; a third of its deadline is left for calls that fail.
    Milliseconds configurationWait{2000};
    /// Longest wait of one watch for members. Watches may miss changes until the next call.
    Milliseconds memberWait{4000};
    /// Longest wait of both while other processes tell how new their catalogs are.
    Milliseconds guardedWait{25'000};
    /// Without word from others for this long, this process is on its own again.
    Milliseconds guardedFor{1500};
    /// Pause after news from the store.
    Milliseconds watchSettle{250};
    BackoffOptions watchBackoff{Milliseconds{60}, Milliseconds{800}};
};

/// What a catalog follower reports.
struct CatalogHandlers {
    std::function<void(const relay::Configuration &configuration, Revision revision)> configured;
    std::function<void()> membersChanged;
    /// A call for what \a dependency names failed.
    std::function<void(std::string_view dependency)> storeFailed;
    std::function<void(LogLevel level, std::string_view event, const std::vector<LogField> &fields)> log;
};

/// Keeps the directory of members and reports configurations; \a Store is the platform's object store.
template<typename Store>
class CatalogFollower
{
public:
    CatalogFollower(boost::asio::io_context &loop,
                    const SessionSettings &settings,
                    relay::MemberDirectory &directory,
                    CatalogHandlers handlers)
        : loop_(loop)
        , settings_(settings)
        , directory_(directory)
        , handlers_(std::move(handlers))
    {
    }

    void start()
    {
        followConfiguration();
        followMembers();
    }

    /// How new a catalog is known here or was told of.
    [[nodiscard]] CatalogMarks marks() const
    {
        CatalogMarks marks{configuration_->newest(), members_->newest()};
        marks.raise(told_);
        return marks;
    }

    /// Takes in how new a catalog another process knows; a watch that missed that is made anew.
    void heardOf(const CatalogMarks &marks)
    {
        const auto now = evloop::bootTimeNow();
        told_.raise(marks);
        heardAt_ = now;
        if (configuration_->heardOf(told_.configuration, now)) {
            watchMissed("configuration", told_.configuration);
        }
        if (members_->heardOf(told_.members, now)) {
            watchMissed("members", told_.members);
        }
    }

    /// Does what is due: drops members whose removal is trusted by now, and chooses how long watches wait. Waits are long where others
    /// would tell of missed news; some processes watch \a often for all.
    void tick(bool often)
    {
        if (directory_.expire(evloop::bootTimeNow())) {
            handlers_.membersChanged();
        }
        const bool guarded = !often && heardAt_ != TimePoint{} && evloop::bootTimeNow() - heardAt_ < limits_.guardedFor;
        if (guarded == guarded_) {
            return;
        }
        guarded_ = guarded;
        configuration_->setWait(guarded ? limits_.guardedWait : configurationWait());
        members_->setWait(guarded ? limits_.guardedWait : limits_.memberWait);
    }

    /// True once the members were listed.
    [[nodiscard]] bool membersKnown() const noexcept
    {
        return membersKnown_;
    }

private:
    [[nodiscard]] Milliseconds configurationWait() const noexcept
    {
        return std::min(limits_.configurationWait, settings_.configurationDeadline * 2 / 3);
    }

    void watchMissed(std::string_view dependency, Revision newest)
    {
        handlers_.log(
            LogLevel::Warning, "watch_missed_news", {{"dependency", dependency}, {"newest", static_cast<std::int64_t>(newest.value)}});
    }

    WatchResumeOptions watchOptions(Milliseconds wait) const
    {
        return {wait, limits_.watchBackoff};
    }

    void followConfiguration()
    {
        FollowerHandlers handlers;
        handlers.listed = [this](const StoreListing &listing) {
            takeConfigurations(listing.objects);
        };
        handlers.changed = [this](const StoreChanges &changes) {
            takeConfigurations(changes.changes);
        };
        handlers.failed = [this](const Error &error) {
            storeFailed("configuration", error);
        };
        configuration_ = std::make_shared<Follower<Store>>(loop_,
                                                           Store(loop_, settings_.store),
                                                           ObjectKind{Store::configurationKind},
                                                           watchOptions(configurationWait()),
                                                           limits_.watchSettle,
                                                           stableHash(settings_.instance.text()),
                                                           std::move(handlers));
        configuration_->step();
    }

    void takeConfigurations(const std::vector<StoredObject> &objects)
    {
        for (const auto &object : objects) {
            if (object.name.text() == Store::configurationName && !object.deleted) {
                takeConfiguration(object);
            }
        }
        storeAnswered("configuration");
    }

    void takeConfiguration(const StoredObject &object)
    {
        const auto configuration = Store::decodeConfiguration(object);
        if (!configuration) {
            handlers_.log(LogLevel::Error, "configuration_unreadable", {{"fault", configuration.error().description}});
            return;
        }
        handlers_.configured(*configuration, object.version);
    }

    void followMembers()
    {
        FollowerHandlers handlers;
        handlers.listed = [this](const StoreListing &listing) {
            std::vector<relay::MemberEntry> entries;
            for (const auto &object : listing.objects) {
                if (auto entry = Store::decodeMember(object)) {
                    entries.push_back(std::move(*entry));
                }
            }
            directory_.replaceAll(entries, evloop::bootTimeNow());
            membersKnown_ = true;
            storeAnswered("members");
            handlers_.membersChanged();
        };
        handlers.changed = [this](const StoreChanges &changes) {
            for (const auto &object : changes.changes) {
                takeMember(object);
            }
            storeAnswered("members");
            if (!changes.changes.empty()) {
                handlers_.membersChanged();
            }
        };
        handlers.failed = [this](const Error &error) {
            directory_.storeFailed(evloop::bootTimeNow());
            storeFailed("members", error);
        };
        members_ = std::make_shared<Follower<Store>>(loop_,
                                                     Store(loop_, settings_.store),
                                                     ObjectKind{Store::memberKind},
                                                     watchOptions(limits_.memberWait),
                                                     limits_.watchSettle,
                                                     stableHash(settings_.instance.text(), 1),
                                                     std::move(handlers));
        members_->step();
    }

    void takeMember(const StoredObject &object)
    {
        const MemberName name{object.name.text()};
        const auto entry = object.deleted ? std::nullopt : Store::decodeMember(object);
        if (object.deleted) {
            if (guarded_) {
                // A long watch does not show an outage, in which the entries of living members lapse.
                directory_.storeFailed(evloop::bootTimeNow());
            }
            directory_.remove(name, evloop::bootTimeNow());
        } else if (entry) {
            const auto *before = directory_.find(name);
            const bool changed = before == nullptr || !(*before == *entry);
            directory_.put(*entry);
            if (!changed) {
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

    void storeAnswered(std::string_view dependency)
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
    CatalogLimits limits_;
    relay::MemberDirectory &directory_;
    CatalogHandlers handlers_;
    bool membersKnown_ = false;
    /// How new a catalog others told of, and when they last told.
    CatalogMarks told_;
    TimePoint heardAt_;
    /// Others would tell of news that this process' watches missed.
    bool guarded_ = false;
    std::shared_ptr<Follower<Store>> configuration_;
    std::shared_ptr<Follower<Store>> members_;
    std::unordered_map<std::string, bool> lostDependencies_;
};

} // namespace cardamomstep::gateway
