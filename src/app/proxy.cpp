// One proxy process: composes the modules, starts and stops them.
#include "app/proxy.h"

#include "app/configurationservice.h"
#include "app/membershipservice.h"
#include "app/observationexchange.h"
#include "app/operatorenvironment.h"
#include "app/ownership.h"
#include "app/periodic.h"
#include "app/planmonitor.h"
#include "app/statuswriter.h"
#include "app/taskpool.h"
#include "entry/authorization.h"
#include "entry/callerapi.h"
#include "entry/dispatcher.h"
#include "http/server.h"
#include "logging/log.h"
#include "metrics/metrics.h"
#include "operators/api.h"
#include "peer/client.h"
#include "peer/server.h"
#include "store/storeclient.h"

#include <atomic>
#include <random>
#include <utility>

namespace cardamomstep {

namespace {

constexpr std::size_t backgroundThreads = 4;
constexpr unsigned operatorThreads = 16;
constexpr Milliseconds drainPollInterval{10};
/// A leaving proxy continues to serve until no statement has arrived for this long.
constexpr Milliseconds drainIdleTime{1'000};
constexpr Milliseconds maintenancePeriod{100};
/// Stop plans are checked once in this many maintenance rounds.
constexpr std::uint64_t roundsPerPlanCheck = 5;
constexpr int hexadecimalDigits = 16;

std::uint64_t drawSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) ^ device();
}

peer::Credentials credentialsOf(const PeerSettings &settings)
{
    return {settings.certificateFile, settings.keyFile, settings.caFile};
}

LiveInstance selfOf(const Settings &settings)
{
    return {settings.instance, settings.failureDomain, settings.peers.advertise};
}

StoreOptions storeOptionsOf(const Settings &settings, std::uint64_t seed)
{
    StoreOptions options;
    options.store = settings.platform.store;
    options.instance = settings.instance;
    options.domain = settings.failureDomain;
    options.seed = seed;
    return options;
}

} // namespace

struct Proxy::Impl {
    explicit Impl(const Settings &given);
    ~Impl();

    /// Starts all servers and services.
    [[nodiscard]] Result<Success> startServices();
    void stop();

    [[nodiscard]] GroupOwnerHandlers groupOwnerHandlers();
    [[nodiscard]] peer::Handlers peerHandlers();
    [[nodiscard]] entry::CallerServices callerServices();
    [[nodiscard]] entry::Dispatcher::Sources dispatcherSources();

    void addTask(TaskPool::Task task);
    [[nodiscard]] entry::FleetSnapshot fleet() const;
    [[nodiscard]] bool isReady() const;
    void onFleetChanged();
    void onListed(const std::vector<ListedInstance> &listed);
    void onStatementFinished(const Statement &statement, const Answer &answer, Microseconds duration);
    [[nodiscard]] RequestId drawRequestId();
    void reconcile();
    [[nodiscard]] Milliseconds maintain();
    /// In each group where requests wait for a connection, ends the transaction that has been idle longest, if it exceeds the idle
    /// timeout for such times, see TransactionRegistry::evictIdle().
    void evictIdleTransactions();
    void beginLeaving();
    void serveUntilIdle(TimePoint until);
    [[nodiscard]] std::string metricsPage();

    Settings settings;
    std::uint64_t seed = drawSeed();
    LiveInstance self;
    Metrics metrics;
    Transactions transactions;
    peer::Client peers;
    std::atomic<bool> stopping{false};
    std::atomic<bool> draining{false};
    std::atomic<std::uint64_t> nextRequestNumber{1};
    StoreClient store;
    ConfigurationService configuration;
    MembershipService membership;
    Ownership ownership;
    FleetEnvironment environment;
    RecordWriter records;
    StatusWriter status;
    ObservationExchange observations;
    PlanMonitor plans;
    operators::OperatorApi<RecordWriter, FleetEnvironment> operatorApi;
    entry::Dispatcher dispatcher;
    entry::CallerApi callers;
    std::atomic<std::uint32_t> forwardedInFlight{0};
    // Declared last, so that they are destroyed first: their threads use the members above.
    std::unique_ptr<peer::Server> peerServer;
    std::unique_ptr<http::Server> callerServer;
    std::unique_ptr<http::Server> operatorServer;
    std::unique_ptr<TaskPool> tasks;
    std::unique_ptr<Periodic> maintenance;
    // Used by the maintenance thread only.
    std::uint64_t maintenanceRound = 0;
};

Proxy::Impl::Impl(const Settings &given)
    : settings(given)
    , self(selfOf(given))
    , transactions(given.instance, seed)
    , peers(credentialsOf(given.peers))
    , store(storeOptionsOf(given, seed))
    , configuration(self, store, peers, seed, [this] { onFleetChanged(); })
    , membership(
          settings, store, peers, seed, [this] { onFleetChanged(); }, [this](const auto &listed) { onListed(listed); })
    , ownership(settings, self, groupOwnerHandlers(), transactions, seed)
    , environment(self.name, configuration, membership)
    , records(store, configuration, seed)
    , status(store, self.name, seed)
    , observations(self.name, ownership, configuration, transactions, peers, [this](TaskPool::Task task) { addTask(std::move(task)); })
    , plans(ownership, transactions, observations, status)
    , operatorApi(records, environment, {.token = given.operators.token})
    , dispatcher(self, dispatcherSources(), peers, transactions)
    , callers(callerServices(), {.tokenBytes = given.limits.tokenBytes, .maxWindow = given.limits.maxWindow}, given.limits.inFlight)
{
}

Proxy::Impl::~Impl()
{
    stop();
}

Result<Success> Proxy::Impl::startServices()
{
    tasks = std::make_unique<TaskPool>(backgroundThreads);
    auto peerStarted = peer::Server::start(settings.peers.listen, credentialsOf(settings.peers), peerHandlers());
    if (!peerStarted) {
        return peerStarted.error();
    }
    peerServer = std::move(*peerStarted);
    http::ServerOptions options;
    options.listen = settings.callers.listen;
    options.maxBodyBytes = settings.limits.bodyBytes;
    options.maxThreads = settings.limits.threads;
    options.certificateFile = settings.callers.certificateFile;
    options.keyFile = settings.callers.keyFile;
    auto callersStarted = http::Server::start(options, [this](const http::Request &request) { return callers.handle(request); });
    if (!callersStarted) {
        return callersStarted.error();
    }
    callerServer = std::move(*callersStarted);
    http::ServerOptions operatorOptions;
    operatorOptions.listen = settings.operators.listen;
    operatorOptions.maxThreads = operatorThreads;
    auto operatorsStarted =
        http::Server::start(operatorOptions, [this](const http::Request &request) { return operatorApi.handle(request); });
    if (!operatorsStarted) {
        return operatorsStarted.error();
    }
    operatorServer = std::move(*operatorsStarted);
    configuration.start();
    membership.start();
    status.start();
    maintenance = std::make_unique<Periodic>([this] { return maintain(); });
    return Success{};
}

void Proxy::Impl::stop()
{
    if (stopping.exchange(true)) {
        return;
    }
    maintenance.reset();
    status.stop();
    operatorServer.reset();
    callerServer.reset();
    peerServer.reset();
    membership.stop();
    configuration.stop();
    tasks.reset();
    ownership.clear();
}

// Handlers that connect the modules

GroupOwnerHandlers Proxy::Impl::groupOwnerHandlers()
{
    GroupOwnerHandlers ownerHandlers;
    ownerHandlers.primaryChanged = [this](const GroupName &group, const PrimaryChanged &change) {
        if (change.reason != PromotionReason::Observed) {
            status.onPromotion(group, change.previous, change.member, change.term, toText(change.reason));
        }
        metrics.count("primary_changes_total{reason=\"" + std::string(toText(change.reason)) + "\"}");
        logEvent(LogLevel::Info,
                 "primary-changed",
                 {{"group", group.text()},
                  {"member", change.member.text()},
                  {"term", toText(change.term)},
                  {"reason", toText(change.reason)},
                  {"previous", change.previous.text()},
                  {"sinceDetectionUs", static_cast<std::int64_t>((steadyNow() - change.detectedAt).count())}});
    };
    ownerHandlers.auditEvent = [](const GroupName &group, const AuditEvent &event) {
        logEvent(
            LogLevel::Info,
            toText(event.kind),
            {{"group", group.text()}, {"member", event.member.text()}, {"term", toText(event.term)}, {"reason", toText(event.reason)}});
    };
    ownerHandlers.queryPeers = [this](const GroupName &group) {
        addTask([this, group] { observations.publish(group, std::nullopt); });
    };
    ownerHandlers.pausePeerWrites = [this](const GroupName &group, Milliseconds writePause) {
        addTask([this, group, writePause] { observations.publish(group, writePause); });
    };
    return ownerHandlers;
}

peer::Handlers Proxy::Impl::peerHandlers()
{
    peer::Handlers handlers;
    handlers.execute = [this](const Statement &statement, Microseconds remaining) {
        const auto arrived = steadyNow();
        ++forwardedInFlight;
        auto answer = dispatcher.runForwarded(statement, arrived + remaining);
        --forwardedInFlight;
        metrics.observe("forwarded_ms{verb=\"" + std::string(nameOf(statement)) + "\"}", steadyNow() - arrived);
        return answer;
    };
    handlers.ping = [this](const peer::Ping &ping) {
        return membership.onPing(ping);
    };
    handlers.snapshot = [this] {
        return membership.snapshot();
    };
    handlers.gossip = [this](const GossipMessage &message) {
        return configuration.onRequest(message);
    };
    handlers.exchangeObservations = [this](const peer::GroupObservation &received) {
        return observations.onObservation(received);
    };
    return handlers;
}

entry::CallerServices Proxy::Impl::callerServices()
{
    entry::CallerServices services;
    services.run = [this](const Statement &statement, TimePoint deadline) {
        return dispatcher.run(statement, deadline);
    };
    services.authorize = [this](const std::string &authorization) {
        return entry::authorizeCaller(*configuration.catalog(), authorization);
    };
    services.ready = [this] {
        return isReady();
    };
    services.metrics = [this] {
        return metricsPage();
    };
    services.finished = [this](const Statement &statement, const Answer &answer, Microseconds duration) {
        onStatementFinished(statement, answer, duration);
    };
    services.drawRequestId = [this] {
        return drawRequestId();
    };
    return services;
}

entry::Dispatcher::Sources Proxy::Impl::dispatcherSources()
{
    return {[this] { return fleet(); },
            [this](const GroupName &group) {
                return ownership.find(group);
            }};
}

RequestId Proxy::Impl::drawRequestId()
{
    char digits[hexadecimalDigits + 1] = {};
    (void)std::snprintf(digits, sizeof(digits), "%016llx", static_cast<unsigned long long>(seed));
    return RequestId{settings.instance.text() + "-" + digits + "-" + std::to_string(nextRequestNumber++)};
}

void Proxy::Impl::onStatementFinished(const Statement &statement, const Answer &answer, Microseconds duration)
{
    const std::string verb(nameOf(statement));
    metrics.count("statements_total{verb=\"" + verb + "\",ran=\"" + std::string(toText(answer.ran)) + "\"}");
    metrics.observe("statement_ms{verb=\"" + verb + "\"}", duration);
    if (verb == "read" && !answer.error) {
        metrics.count(answer.fromReplica ? "reads_from_replicas_total" : "reads_from_primary_total");
    }
    if (!answer.error) {
        return;
    }
    const std::string kind(answerRule(answer.error->kind).name);
    metrics.count("errors_total{kind=\"" + kind + "\"}");
    logEvent(LogLevel::Info,
             "statement-failed",
             {{"requestId", statement.requestId.text()},
              {"service", statement.service.text()},
              {"verb", verb},
              {"kind", kind},
              {"ran", toText(answer.ran)},
              {"description", answer.error->description},
              {"tookUs", static_cast<std::int64_t>(duration.count())}});
}

// The fleet

void Proxy::Impl::addTask(TaskPool::Task task)
{
    if (!stopping && tasks) {
        tasks->add(std::move(task));
    }
}

entry::FleetSnapshot Proxy::Impl::fleet() const
{
    const auto freshness = configuration.configurationFreshness();
    const bool mayServe = freshness == ConfigurationFreshnessState::Current || freshness == ConfigurationFreshnessState::StoreSilent;
    return {configuration.catalog(), membership.owners(), mayServe};
}

bool Proxy::Impl::isReady() const
{
    return fleet().mayServe && !membership.isLeaving();
}

void Proxy::Impl::onFleetChanged()
{
    addTask([this] { reconcile(); });
}

void Proxy::Impl::onListed(const std::vector<ListedInstance> &listed)
{
    std::vector<MemberName> leaving;
    for (const auto &instance : listed) {
        if (instance.role == "endpoint" && instance.state == ListedState::Leaving) {
            leaving.emplace_back(instance.name);
        }
    }
    ownership.setListedLeaving(std::move(leaving));
}

void Proxy::Impl::reconcile()
{
    if (stopping) {
        return;
    }
    const auto owners = membership.owners();
    configuration.setInstances(owners, membership.listedDomains());
    membership.setConfigurationRevision(configuration.revision());
    store.setBudget(callBudgetFor(owners->instances().size()));
    ownership.reconcile({configuration.catalog(), owners, true});
}

void Proxy::Impl::evictIdleTransactions()
{
    for (const auto &owner : ownership.all()) {
        if (!owner->waitsForConnection()) {
            continue;
        }
        const auto group = owner->snapshot().group;
        if (const auto evicted = transactions.evictIdle(group)) {
            logEvent(LogLevel::Info, "idle-transaction-ended", {{"group", group.text()}, {"transaction", evicted->transaction.id.text()}});
            owner->closeConnection(*evicted);
        }
    }
}

Milliseconds Proxy::Impl::maintain()
{
    for (const auto &expired : transactions.expire()) {
        if (const auto owner = ownership.find(expired.transaction.group)) {
            owner->closeConnection(expired);
        }
    }
    evictIdleTransactions();
    configuration.setInstances(membership.owners(), membership.listedDomains());
    membership.setConfigurationRevision(configuration.revision());
    if (++maintenanceRound % roundsPerPlanCheck == 0) {
        const auto now = std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
        if (instancePlanDue(*configuration.catalog(), self.name, now)) {
            beginLeaving();
        }
        ownership.refresh();
        plans.check();
    }
    return maintenancePeriod;
}

// Stopping

void Proxy::Impl::beginLeaving()
{
    if (draining.exchange(true)) {
        return;
    }
    logEvent(LogLevel::Info, "leaving", {});
    callers.beginDraining();
    membership.leave();
}

void Proxy::Impl::serveUntilIdle(TimePoint until)
{
    while (steadyNow() < until && steadyNow() - callers.lastArrival() < drainIdleTime) {
        std::this_thread::sleep_for(drainPollInterval);
    }
}

std::string Proxy::Impl::metricsPage()
{
    metrics.set("configuration_revision", static_cast<double>(configuration.revision().value));
    metrics.set("open_transactions", static_cast<double>(transactions.size()));
    metrics.set("callers_in_flight", callers.inFlight());
    const auto counts = store.counts();
    metrics.set("store_reads", static_cast<double>(counts.reads));
    metrics.set("store_writes", static_cast<double>(counts.writes));
    metrics.set("store_failures", static_cast<double>(counts.failures));
    for (const auto &owner : ownership.all()) {
        const auto snapshot = owner->snapshot();
        const auto label = "{group=\"" + snapshot.group.text() + "\"}";
        metrics.set("group_waiting" + label, snapshot.waiting);
        metrics.set("group_running" + label, snapshot.running);
        metrics.set("group_connections" + label, snapshot.openConnections);
    }
    return metrics.page();
}

// Proxy

Proxy::Proxy(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl))
{
}

Proxy::~Proxy() = default;

Result<std::unique_ptr<Proxy>> Proxy::start(const Settings &settings)
{
    auto impl = std::make_unique<Impl>(settings);
    const auto started = impl->startServices();
    if (!started) {
        return started.error();
    }
    logEvent(LogLevel::Info, "started", {{"callers", settings.callers.listen.text()}, {"peers", settings.peers.listen.text()}});
    return std::unique_ptr<Proxy>(new Proxy(std::move(impl)));
}

bool Proxy::drain()
{
    impl_->beginLeaving();
    const auto until = steadyNow() + impl_->settings.drain;
    impl_->serveUntilIdle(until);
    impl_->callers.beginRefusing();
    const auto busy = [this] {
        return impl_->callers.inFlight() + impl_->forwardedInFlight + impl_->transactions.size() > 0;
    };
    while (busy() && steadyNow() < until) {
        std::this_thread::sleep_for(drainPollInterval);
    }
    const bool complete = !busy();
    logEvent(LogLevel::Info, "drained", {{"whole", complete ? "true" : "false"}});
    return complete;
}

} // namespace cardamomstep
