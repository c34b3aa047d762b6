// Tracks the other proxies through pings and the platform's instance list.
#include "app/membershipservice.h"

#include "logging/log.h"
#include "records/forms.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace cardamomstep {

namespace {

constexpr std::size_t pingThreads = 3;
constexpr Milliseconds tickPeriod{100};
constexpr Milliseconds pingTimeout{800};
constexpr Milliseconds snapshotTimeout{2'000};
constexpr Milliseconds instancesTimeout{1'000};
/// The poll interval of the instance list grows with the number of known proxies, but is at least minPollInterval.
constexpr Milliseconds minPollInterval{1'000};
constexpr Milliseconds pollIntervalPerProxy{10};

std::vector<SchemaForm> formsOfThisRelease()
{
    std::vector<SchemaForm> forms;
    for (const auto &form : ownForms()) {
        if (isWrittenByOperators(form.kind)) {
            forms.push_back({ObjectKind{std::string(toText(form.kind))}, form.schema == SchemaVersion::V1 ? 1U : 2U});
        }
    }
    return forms;
}

MembershipOptions optionsFor(const Settings &settings, std::uint64_t seed)
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    MembershipOptions options;
    options.self = {settings.instance, settings.failureDomain, settings.peers.advertise};
    options.incarnation = static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(sinceEpoch).count());
    options.forms = formsOfThisRelease();
    options.seed = seed;
    return options;
}

/// Converts the seeds in the settings to entries of an instance list.
std::vector<ListedInstance> seedsOf(const Settings &settings)
{
    std::vector<ListedInstance> listed;
    for (const auto &seed : settings.seeds) {
        listed.push_back({seed.name.text(), seed.failureDomain, seed.address, ListedState::Live, "proxy"});
    }
    return listed;
}

} // namespace

MembershipService::MembershipService(const Settings &settings,
                                     StoreClient &store,
                                     peer::Client &peers,
                                     std::uint64_t seed,
                                     ChangeHandler changeHandler,
                                     ListHandler listHandler)
    : store_(store)
    , peers_(peers)
    , changeHandler_(std::move(changeHandler))
    , listHandler_(std::move(listHandler))
    , view_(optionsFor(settings, seed))
{
    if (!settings.seeds.empty()) {
        view_.onListed(seedsOf(settings), steadyNow());
    }
}

void MembershipService::start()
{
    tasks_ = std::make_unique<TaskPool>(pingThreads);
    ticker_ = std::make_unique<Periodic>([this] { return tick(); });
    poller_ = std::make_unique<Periodic>([this] { return pollInstances(); });
}

void MembershipService::stop()
{
    poller_.reset();
    ticker_.reset();
    tasks_.reset();
}

void MembershipService::leave()
{
    std::unique_lock lock(mutex_);
    view_.leave(steadyNow());
    // All other proxies are notified at once instead of with the next periodic pings. The message to them is the reply to an empty ping,
    // which holds the updates to disseminate; its sender may be any known proxy.
    const auto message = view_.onPing({view_.proxies().front().update->instance.name, Revision{}, false, {}}, steadyNow());
    std::vector<LiveInstance> others;
    for (const auto &proxy : view_.proxies()) {
        others.push_back(proxy.update->instance);
    }
    lock.unlock();
    for (const auto &other : others) {
        if (tasks_ && other.name != message.from) {
            tasks_->add([this, other, message] { (void)peers_.ping(other.address, {message, {}, true}, pingTimeout); });
        }
    }
}

bool MembershipService::isLeaving() const
{
    const std::lock_guard lock(mutex_);
    return view_.isLeaving();
}

// Requests

peer::Ping MembershipService::onPing(const peer::Ping &ping)
{
    if (!ping.target.empty()) {
        const auto result = peers_.ping(ping.target, {ping.message, {}, true}, pingTimeout);
        const auto *reply = std::get_if<peer::Ping>(&result);
        return reply != nullptr ? *reply : peer::Ping{{}, {}, false};
    }
    std::unique_lock lock(mutex_);
    peer::Ping reply{view_.onPing(ping.message, steadyNow()), {}, true};
    finishInput(lock);
    return reply;
}

std::vector<SharedUpdate> MembershipService::snapshot() const
{
    const std::lock_guard lock(mutex_);
    return view_.snapshot();
}

std::shared_ptr<const InstanceSet> MembershipService::owners() const
{
    const std::lock_guard lock(mutex_);
    return owners_;
}

std::vector<KnownProxy> MembershipService::proxies() const
{
    const std::lock_guard lock(mutex_);
    return view_.proxies();
}

std::size_t MembershipService::listedDomains() const
{
    const std::lock_guard lock(mutex_);
    return view_.listedDomains();
}

void MembershipService::setConfigurationRevision(Revision revision)
{
    const std::lock_guard lock(mutex_);
    view_.setConfiguration(revision);
}

// Pings

Milliseconds MembershipService::tick()
{
    std::unique_lock lock(mutex_);
    perform(view_.tick(steadyNow()));
    finishInput(lock);
    return tickPeriod;
}

void MembershipService::finishInput(std::unique_lock<std::mutex> &lock)
{
    const bool changed = view_.generation() != generation_;
    if (changed) {
        generation_ = view_.generation();
        owners_ = view_.owners();
    }
    lock.unlock();
    if (changed) {
        changeHandler_();
    }
}

void MembershipService::perform(const MembershipActions &actions)
{
    for (const auto &action : actions) {
        if (const auto *ping = std::get_if<SendPing>(&action)) {
            sendPing(ping->id, ping->to.address, {ping->message, {}, true}, true);
        } else if (const auto *indirect = std::get_if<SendIndirectPing>(&action)) {
            sendPing(indirect->id, indirect->via.address, {indirect->message, indirect->target.address, true}, false);
        } else {
            const auto from = std::get<FetchSnapshot>(action).from;
            tasks_->add([this, from] {
                const auto result = peers_.snapshot(from.address, snapshotTimeout);
                if (const auto *updates = std::get_if<std::vector<SharedUpdate>>(&result)) {
                    std::unique_lock lock(mutex_);
                    view_.onSnapshot(*updates, steadyNow());
                    finishInput(lock);
                }
            });
        }
    }
}

void MembershipService::sendPing(PingId id, const Address &to, const peer::Ping &ping, bool direct)
{
    if (!tasks_) {
        return;
    }
    tasks_->add([this, id, to, ping, direct] {
        const auto result = peers_.ping(to, ping, pingTimeout);
        std::unique_lock lock(mutex_);
        if (const auto *reply = std::get_if<peer::Ping>(&result)) {
            if (reply->answered) {
                view_.onAck(id, reply->message, steadyNow());
            }
        } else if (direct && std::get<peer::Failure>(result).refused) {
            view_.onRefused(id, steadyNow());
        }
        finishInput(lock);
    });
}

// The platform's list

Milliseconds MembershipService::pollInstances()
{
    const auto instances = store_.instances(instancesTimeout);
    std::unique_lock lock(mutex_);
    const auto proxies = static_cast<std::int64_t>(view_.proxies().size());
    const auto interval = std::max(minPollInterval, pollIntervalPerProxy * proxies);
    if (!instances) {
        return interval;
    }
    view_.onListed(*instances, steadyNow());
    finishInput(lock);
    listHandler_(*instances);
    return interval;
}

} // namespace cardamomstep
