// Synchronizes the configuration of this process with the store and with other proxies.
#include "app/configurationservice.h"

#include "logging/log.h"
#include "records/record.h"

#include <algorithm>
#include <utility>

namespace cardamomstep {

namespace {

constexpr std::size_t exchangeThreads = 4;
constexpr Milliseconds tickPeriod{200};
constexpr Milliseconds listTimeout{3'000};
/// Longest sleep before the next store step is determined again: new input may change it meanwhile.
constexpr Milliseconds maxStoreDelay{200};

GossipOptions optionsFor(const LiveInstance &self, std::uint64_t seed)
{
    GossipOptions options;
    options.self = self.name;
    options.domain = self.domain;
    options.freshness = {};
    options.seed = seed;
    return options;
}

/// Converts \a object to a change of a record; the record is null for a deletion.
///
/// Returns nothing for an object that is not a record, or whose record cannot be read (logged).
std::optional<RecordChange> toRecordChange(const StoredObject &object)
{
    const auto kind = recordKindFromText(object.kind.text());
    if (!kind) {
        return std::nullopt;
    }
    RecordChange change;
    change.key = {*kind, RecordName{object.name.text()}};
    change.version = object.version.value;
    if (object.deleted) {
        return change;
    }
    auto record = readRecord(toText(change.key), object.value);
    if (!record) {
        const auto &fault = record.faults().front().description;
        logEvent(LogLevel::Error, "record-unreadable", {{"record", toText(change.key)}, {"fault", fault}});
        return std::nullopt;
    }
    change.record = std::make_shared<const Record>(std::move(*record));
    return change;
}

} // namespace

ConfigurationService::ConfigurationService(
    const LiveInstance &self, StoreClient &store, peer::Client &peers, std::uint64_t seed, ChangeHandler changeHandler)
    : store_(store)
    , peers_(peers)
    , changeHandler_(std::move(changeHandler))
    , gossip_(optionsFor(self, seed))
{
}

void ConfigurationService::start()
{
    tasks_ = std::make_unique<TaskPool>(exchangeThreads);
    ticker_ = std::make_unique<Periodic>([this] { return tick(); });
    storeWatcher_ = std::make_unique<Periodic>([this] { return syncWithStore(); });
}

void ConfigurationService::stop()
{
    storeWatcher_.reset();
    ticker_.reset();
    tasks_.reset();
}

void ConfigurationService::setInstances(std::shared_ptr<const InstanceSet> live, std::size_t listedDomains)
{
    const std::lock_guard lock(mutex_);
    gossip_.setInstances(std::move(live), listedDomains);
}

GossipMessage ConfigurationService::onRequest(const GossipMessage &request)
{
    std::unique_lock lock(mutex_);
    auto response = gossip_.onRequest(request, steadyNow());
    finishInput(lock, response.actions);
    return std::move(response.reply);
}

void ConfigurationService::onWriteAccepted(const StoredObject &change)
{
    std::unique_lock lock(mutex_);
    const auto actions = gossip_.onAccepted(change, steadyNow());
    finishInput(lock, actions);
}

// Reading

std::shared_ptr<const Catalog> ConfigurationService::catalog() const
{
    const std::lock_guard lock(mutex_);
    return catalog_;
}

ConfigurationFreshnessState ConfigurationService::configurationFreshness() const
{
    const std::lock_guard lock(mutex_);
    return gossip_.configurationFreshness(steadyNow());
}

bool ConfigurationService::mayWriteToStore() const
{
    const std::lock_guard lock(mutex_);
    return gossip_.mayAcceptChanges(steadyNow());
}

Revision ConfigurationService::revision() const
{
    const std::lock_guard lock(mutex_);
    return gossip_.state().digest().complete;
}

void ConfigurationService::awaitRevision(Revision revision, Milliseconds wait)
{
    std::unique_lock lock(mutex_);
    revisionAdvanced_.wait_for(lock, wait, [this, revision] { return gossip_.state().digest().complete >= revision; });
}

// Peers

Milliseconds ConfigurationService::tick()
{
    std::unique_lock lock(mutex_);
    const auto actions = gossip_.tick(steadyNow());
    finishInput(lock, actions);
    return tickPeriod;
}

void ConfigurationService::finishInput(std::unique_lock<std::mutex> &lock, const GossipActions &actions)
{
    const auto before = catalog_;
    perform(actions);
    revisionAdvanced_.notify_all();
    const bool changed = catalog_ != before;
    lock.unlock();
    if (changed) {
        changeHandler_();
    }
}

void ConfigurationService::perform(const GossipActions &actions)
{
    for (const auto &action : actions) {
        if (const auto *exchange = std::get_if<SendExchange>(&action)) {
            send(*exchange);
        } else {
            applyObjects(std::get<ObjectsChanged>(action).objects);
        }
    }
}

void ConfigurationService::send(const SendExchange &exchange)
{
    const bool added = tasks_ && tasks_->add([this, exchange] {
        const auto result = peers_.gossip(exchange.to.address, exchange.message, exchange.timeout);
        std::unique_lock taskLock(mutex_);
        if (const auto *reply = std::get_if<GossipMessage>(&result)) {
            const auto actions = gossip_.onReply(exchange.id, *reply, steadyNow());
            finishInput(taskLock, actions);
        } else {
            gossip_.onExchangeFailed(exchange.id);
        }
    });
    if (!added) {
        gossip_.onExchangeFailed(exchange.id);
    }
}

void ConfigurationService::applyObjects(const std::vector<StoredObject> &objects)
{
    std::vector<RecordChange> records;
    for (const auto &object : objects) {
        if (auto change = toRecordChange(object)) {
            records.push_back(std::move(*change));
        }
    }
    catalog_ = catalog_->with(records, gossip_.state().digest().complete.value);
}

// The store

Milliseconds ConfigurationService::syncWithStore()
{
    StoreStep step;
    {
        const std::lock_guard lock(mutex_);
        step = gossip_.nextStoreStep(steadyNow());
    }
    if (const auto *delay = std::get_if<DelayUntil>(&step)) {
        return std::clamp(wholeMilliseconds(delay->time - steadyNow()) + Milliseconds{1}, Milliseconds{1}, maxStoreDelay);
    }
    if (const auto *watchStep = std::get_if<WatchAfter>(&step)) {
        watch(*watchStep);
    } else {
        list();
    }
    return Milliseconds{0};
}

void ConfigurationService::list()
{
    const auto calledAt = steadyNow();
    const auto listing = store_.list(ObjectKind{}, listTimeout);
    std::unique_lock lock(mutex_);
    if (!listing) {
        gossip_.onStoreFailure(steadyNow());
        logEvent(LogLevel::Warning, "store-unavailable", {{"call", "list"}, {"fault", listing.error().description}});
        return;
    }
    const auto actions = gossip_.onListing(*listing, calledAt, steadyNow());
    finishInput(lock, actions);
}

void ConfigurationService::watch(const WatchAfter &step)
{
    const auto calledAt = steadyNow();
    const auto changes = store_.watch(step.after, step.wait);
    std::unique_lock lock(mutex_);
    if (!changes) {
        gossip_.onStoreFailure(steadyNow());
        logEvent(LogLevel::Warning, "store-unavailable", {{"call", "watch"}, {"fault", changes.error().description}});
        return;
    }
    const auto actions = gossip_.onChanges(*changes, calledAt, steadyNow());
    finishInput(lock, actions);
}

} // namespace cardamomstep
