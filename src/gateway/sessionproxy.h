// The session proxy: one event loop that performs the relay's actions and reports their results to it.
#pragma once

#include "evloop/clock.h"
#include "evloop/httpserver.h"
#include "gateway/callerconnections.h"
#include "gateway/catalogwatcher.h"
#include "gateway/customerfaults.h"
#include "gateway/derivedsettings.h"
#include "gateway/leadershipservice.h"
#include "gateway/memberconnections.h"
#include "gateway/proxymetrics.h"
#include "gateway/routepage.h"
#include "gateway/sessionplacement.h"
#include "gateway/sessionproxylimits.h"
#include "gateway/statuspage.h"
#include "logging/boundedlog.h"
#include "relay/engine.h"
#include "settings/sessionsettings.h"

#include <boost/asio.hpp>

#include <memory>
#include <string>
#include <utility>

namespace cardamomstep::gateway {

/// One session proxy process; \a Wire is the line format, \a Store and \a Promoter are the platform's services.
template<relay::WireCodec Wire, typename Store, typename Promoter>
class SessionProxy
{
public:
    SessionProxy(boost::asio::io_context &loop, const SessionSettings &settings, std::string settingsFile)
        : loop_(loop)
        , settings_(settings)
        , settingsFile_(std::move(settingsFile))
        , random_(seedOf(settings))
        , log_(1, settings.logLevel, settings.instance.text())
        , engine_(settings.failureDomain, seedOf(settings), engineLimitsOf(settings))
        , directory_(directoryLimitsOf(settings))
        , placement_(engine_, {settings.instance, settings.failureDomain, settings.listen.sessions})
        , epochs_(std::make_shared<StoreEpochs>())
        , storeCalls_(std::make_shared<StoreCalls>())
        , catalogRelay_(epochs_, {[this] { catalog_.onStoreWatched(); }, logWriter()})
        , catalog_(loop, settings_, epochs_, storeCalls_, catalogRelay_, directory_, catalogHandlers())
        , leadership_(loop, settings, epochs_, storeCalls_, catalogRelay_, seedOf(settings), leadershipHost())
        , acceptor_(loop)
        , sessionAcceptor_(loop)
        , callers_(loop, engine_, placement_, metrics_, callerHandlers(), seedOf(settings))
        , memberConnections_(loop, engine_, metrics_, [this] { perform(); })
        , wakeTimer_(loop)
        , logTimer_(loop)
    {
    }

    /// Opens the listeners and starts to watch the store; the error is ErrorKind::InvalidSettings.
    [[nodiscard]] Result<Success> start()
    {
        log(LogLevel::Info, "start", {{"failure_domain", settings_.failureDomain.text()}});
        auto opened = evloop::openAcceptor(acceptor_, settings_.listen.callers);
        if (opened) {
            opened = serveReadiness();
        }
        if (opened && !settings_.listen.metrics.empty()) {
            // Callers are served even without metrics.
            const auto metrics = serveMetrics();
            if (!metrics) {
                log(LogLevel::Warning, "metrics_not_served", {{"fault", metrics.error().description}});
            }
        }
        if (!opened) {
            return opened;
        }
        if (!settings_.listen.sessions.empty()) {
            opened = evloop::openAcceptor(sessionAcceptor_, settings_.listen.sessions);
            if (!opened) {
                return opened;
            }
            accept(sessionAcceptor_, true);
        }
        accept(acceptor_, false);
        placement_.onChange([this](const PlacementChange &change) { callers_.onPlacementChanged(change); });
        epochs_->onChange([this](const StoreEpochChange &change) { onStoreEpoch(change); });
        catalog_.start();
        scheduleLog();
        perform();
        return leadership_.start();
    }

    /// Reads the settings file again and applies the settings that can change at run time.
    void reload()
    {
        const auto read = readSessionSettingsFile(settingsFile_);
        if (!read) {
            log(LogLevel::Warning, "reload_refused", {{"fault", read.faults().front().description}});
            return;
        }
        const bool changed = !(*read == settings_);
        settings_.logLevel = read->logLevel;
        settings_.stopGrace = read->stopGrace;
        log_.setLevel(settings_.logLevel);
        log(LogLevel::Info, "reload", {{"changed", static_cast<std::int64_t>(changed ? 1 : 0)}});
    }

    /// Starts a graceful shutdown; the loop stops after the last session has ended, or shortly before the end of the stop grace.
    void stop()
    {
        if (engine_.draining()) {
            return;
        }
        const auto now = evloop::bootTimeNow();
        stoppingSince_ = now;
        log(LogLevel::Info, "stop", {{"sessions", static_cast<std::int64_t>(engine_.callers())}});
        leadership_.leave();
        const auto transactionsUntil = now + settings_.stopGrace / 2;
        callers_.endForwarded(transactionsUntil);
        engine_.drain(transactionsUntil, now);
        perform();
        checkStopped();
    }

private:
    LeadershipHost leadershipHost()
    {
        const auto proxiesChanged = [this] {
            placement_.setProxies(leadership_.sessionTargets());
            leadership_.lending().proxiesChanged();
        };
        const auto servingProxies = [this](const CustomerName &customer) {
            return placement_.servingProxies(customer);
        };
        return LeadershipHost{
            engine_, directory_, logWriter(), [this] { perform(); }, proxiesChanged, servingProxies, metrics_.unreadableEntryCounter()};
    }

    CallerConnectionsHandlers callerHandlers()
    {
        return {logWriter(),
                [this] { perform(); },
                [this] {
                    checkStopped();
                }};
    }

    /// The function by which the parts of this process write to its log.
    std::function<void(LogLevel, std::string_view, const std::vector<LogField> &)> logWriter()
    {
        return [this](LogLevel level, std::string_view event, const std::vector<LogField> &fields) {
            log(level, event, fields);
        };
    }

    void log(LogLevel level, std::string_view event, const std::vector<LogField> &fields)
    {
        log_.write(level, event, fields, evloop::bootTimeNow());
    }

    // Listeners

    Result<Success> serveReadiness()
    {
        readiness_ = std::make_shared<evloop::HttpServer>(loop_, [this](const std::string &) {
            return ready() ? evloop::HttpPage{200, "ready\n"} : evloop::HttpPage{503, "not ready\n"};
        });
        return readiness_->listen(settings_.listen.readiness);
    }

    Result<Success> serveMetrics()
    {
        metricsServer_ = std::make_shared<evloop::HttpServer>(loop_, [this](const std::string &path) {
            const auto now = evloop::bootTimeNow();
            if (path.starts_with("/route")) {
                return routePage(path, engine_, placement_, now);
            }
            const auto gauges = leadership_.gauges(now);
            return evloop::HttpPage{200,
                                    path == "/status" ? statusPage(settings_.instance, engine_, gauges, now)
                                                      : metrics_.page(engine_, gauges, *storeCalls_, log_.dropped(), now)};
        });
        return metricsServer_->listen(settings_.listen.metrics);
    }

    [[nodiscard]] bool ready() const
    {
        return !engine_.draining() && engine_.routes().isLoaded() && catalog_.membersListed()
            && leadership_.primaryTableCurrent(evloop::bootTimeNow());
    }

    /// Accepts connections; sessions on those from other proxies are served by this process and never forwarded again.
    void accept(boost::asio::ip::tcp::acceptor &acceptor, bool fromProxy)
    {
        acceptor.async_accept([this, &acceptor, fromProxy](const boost::system::error_code &error, boost::asio::ip::tcp::socket socket) {
            if (error == boost::asio::error::operation_aborted) {
                return;
            }
            if (!error) {
                callers_.add(std::move(socket), fromProxy);
            }
            accept(acceptor, fromProxy);
        });
    }

    // Store

    CatalogHandlers catalogHandlers()
    {
        CatalogHandlers handlers;
        handlers.configured = [this](const relay::Configuration &configuration, Revision revision) {
            applyConfiguration(configuration, revision);
        };
        handlers.membersChanged = [this] {
            membersChanged();
        };
        handlers.storeFailed = [this](std::string_view dependency) {
            metrics_.storeFailed(dependency);
        };
        handlers.log = logWriter();
        handlers.entryUnreadable = metrics_.unreadableEntryCounter();
        return handlers;
    }

    /// Lists everything again when the store came back from an older copy, at a random time so that the fleet does not list at once.
    void onStoreEpoch(const StoreEpochChange &change)
    {
        const auto spread = static_cast<std::uint64_t>(limits_.epochListingSpread.count());
        const auto delay = Milliseconds{static_cast<std::int64_t>(random_.below(spread))};
        if (!change.first) {
            catalog_.onStoreEpoch(delay);
        }
        leadership_.onStoreEpoch(change, delay);
    }

    void applyConfiguration(const relay::Configuration &configuration, Revision revision)
    {
        const auto previousVersion = engine_.routes().version();
        const bool applied = engine_.configure(configuration, evloop::bootTimeNow());
        placement_.onConfigured(configuration);
        log(LogLevel::Info,
            "configuration",
            {{"version", static_cast<std::int64_t>(configuration.version)},
             {"before", static_cast<std::int64_t>(previousVersion)},
             {"revision", static_cast<std::int64_t>(revision.value)},
             {"routes", static_cast<std::int64_t>(configuration.routes.size())}});
        if (applied) {
            callers_.endWithdrawn();
            logCustomerFaults(configuration, logWriter());
        }
        membersChanged();
    }

    void membersChanged()
    {
        engine_.setMembers(directory_, evloop::bootTimeNow());
        leadership_.membersChanged();
        perform();
    }

    // Actions

    /// Performs the engine's actions until it has none left.
    void perform()
    {
        if (performing_) {
            return;
        }
        performing_ = true;
        for (auto actions = engine_.takeActions(); !actions.empty(); actions = engine_.takeActions()) {
            for (auto &action : actions) {
                std::visit([this](auto &dueAction) { perform(dueAction); }, action);
            }
        }
        performing_ = false;
        leadership_.lending().step(evloop::bootTimeNow());
        scheduleWake();
    }

    void perform(const relay::ReplyToCaller &action)
    {
        callers_.reply(action);
    }

    void perform(const relay::CloseCaller &action)
    {
        callers_.close(action);
    }

    void perform(const relay::OpenMemberConnection &action)
    {
        memberConnections_.open(action);
    }

    void perform(const relay::SendToMember &action)
    {
        memberConnections_.send(action);
    }

    void perform(const relay::CloseMemberConnection &action)
    {
        memberConnections_.close(action);
    }

    void perform(const relay::LogDecision &action)
    {
        log(action.level, action.event, action.fields);
    }

    // Timers

    void scheduleWake()
    {
        const auto wake = engine_.nextWake();
        if (!wake || (wakeAt_ && *wakeAt_ <= *wake)) {
            return;
        }
        wakeAt_ = wake;
        wakeTimer_.expires_after(std::max(*wake - evloop::bootTimeNow(), Microseconds{0}));
        wakeTimer_.async_wait([this](const boost::system::error_code &error) {
            if (error) {
                return;
            }
            wakeAt_.reset();
            engine_.wake(evloop::bootTimeNow());
            catalog_.tick(leadership_.watchesCatalogForOthers());
            perform();
            checkStopped();
        });
    }

    void scheduleLog()
    {
        logTimer_.expires_after(limits_.logInterval);
        logTimer_.async_wait([this](const boost::system::error_code &error) {
            log_.flush();
            if (!error) {
                scheduleLog();
            }
        });
    }

    /// Stops the loop once a stopping process has no sessions left and accepts no more, or at 90 % of the stop grace.
    void checkStopped()
    {
        if (!stoppingSince_) {
            return;
        }
        const auto stoppingFor = evloop::bootTimeNow() - *stoppingSince_;
        if (stoppingFor >= limits_.acceptAfterStop && acceptor_.is_open()) {
            // Callers that connect from now on are refused at once and go elsewhere; connections already accepted are still served.
            boost::system::error_code ignored; // The acceptor no longer listens even when closing it fails.
            acceptor_.close(ignored);
            sessionAcceptor_.close(ignored);
        }
        const bool outOfTime = stoppingFor >= settings_.stopGrace * 9 / 10;
        const bool done = callers_.size() == 0 && stoppingFor >= limits_.acceptAfterStop + limits_.lastConnectionsGrace;
        if (!done && !outOfTime) {
            return;
        }
        log(LogLevel::Info,
            "stopped",
            {{"sessions", static_cast<std::int64_t>(callers_.size())},
             {"after_ms", static_cast<std::int64_t>(wholeMilliseconds(stoppingFor).count())}});
        log_.flush();
        leadership_.stop();
        loop_.stop();
    }

    boost::asio::io_context &loop_;
    SessionSettings settings_;
    std::string settingsFile_;
    SessionProxyLimits limits_;
    Random random_;
    BoundedLog log_;
    ProxyMetrics metrics_;
    relay::Engine engine_;
    relay::MemberDirectory directory_;
    SessionPlacement placement_;
    std::shared_ptr<StoreEpochs> epochs_;
    std::shared_ptr<StoreCalls> storeCalls_;
    CatalogRelay<StoreWatcher<Store>> catalogRelay_;
    CatalogWatcher<Store> catalog_;
    LeadershipService<Wire, Store, Promoter> leadership_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::ip::tcp::acceptor sessionAcceptor_;
    std::shared_ptr<evloop::HttpServer> readiness_;
    std::shared_ptr<evloop::HttpServer> metricsServer_;
    CallerConnections<Wire> callers_;
    MemberConnections<Wire> memberConnections_;
    boost::asio::steady_timer wakeTimer_;
    boost::asio::steady_timer logTimer_;
    /// When wakeTimer_ fires; std::nullopt while it is not set.
    std::optional<TimePoint> wakeAt_;
    std::optional<TimePoint> stoppingSince_;
    /// True while actions are performed; further actions that result from them are performed by the same call.
    bool performing_ = false;
};

} // namespace cardamomstep::gateway
