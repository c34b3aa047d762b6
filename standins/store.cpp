// Versions, conditional updates, watches, rate limits and the delayed instance list of the stand-in store.
#include "store.h"

#include <algorithm>
#include <thread>

namespace cardamomstep::standins {

using Json = nlohmann::json;

namespace {

constexpr int ok = 200;
constexpr int badRequest = 400;
constexpr int notFound = 404;
constexpr int gone = 410;
constexpr int preconditionFailed = 412;
constexpr int tooLarge = 413;
constexpr int tooMany = 429;
constexpr std::size_t maxValueBytes = std::size_t{1} << 20U;
constexpr std::size_t maxEvents = 20'000;
constexpr std::int64_t microsecondsPerSecond = 1'000'000;
const std::string objectsPath = "/v1/objects";

std::int64_t steadyMicroseconds()
{
    return steadyNow().time_since_epoch().count();
}

Json objectJson(const std::string &kind, const std::string &name, std::uint64_t version, const Json &value)
{
    return {{"kind", kind}, {"name", name}, {"version", version}, {"value", value}};
}

Reply changeReply(int status, std::uint64_t version)
{
    auto reply = jsonReply(status, {{"version", version}});
    reply.allowsAnswerFaults = true;
    reply.isChange = status == ok;
    return reply;
}

} // namespace

Store::Store(StoreOptions options)
    : options_(std::move(options))
    , faults_(options_.domain)
{
}

void Store::run()
{
    ServerHandlers handlers;
    handlers.handle = [this](ConnectionNumber /*connection*/, const http::Request &request) {
        return handle(request);
    };
    handlers.control = [this](const http::Request &request) {
        return control(request);
    };
    handlers.addState = [this](Json &state) {
        addState(state);
    };
    handlers.faultsChanged = [this] {
        changed_.notify_all();
    };
    Server(handlers, faults_).run(options_.listen);
}

Reply Store::handle(const http::Request &request)
{
    std::this_thread::sleep_for(faults_.extraServiceTime());
    const bool isWrite = request.method == "PUT" || request.method == "DELETE";
    if (!admit(isWrite)) {
        return jsonReply(tooMany, {{"error", "rate limit"}});
    }
    if (request.path == "/v1/instances") {
        return instances(senderOf(request));
    }
    if (request.path == "/v1/watch") {
        return watch(request);
    }
    if (request.path == objectsPath) {
        return list({});
    }
    if (request.path.rfind(objectsPath + "/", 0) != 0) {
        return jsonReply(notFound, {{"error", "no such path"}});
    }
    const auto kindAndName = request.path.substr(objectsPath.size() + 1);
    const auto slash = kindAndName.find('/');
    if (slash == std::string::npos) {
        return list(kindAndName);
    }
    return object(request, {kindAndName.substr(0, slash), kindAndName.substr(slash + 1)});
}

Reply Store::control(const http::Request &request)
{
    if (request.path == "/control/instances" && request.method == "POST") {
        const auto body = Json::parse(request.body);
        const std::lock_guard lock(mutex_);
        instances_.push_back({steadyMicroseconds() + faults_.lag().count(), body.at("instances")});
        return jsonReply(ok, Json::object());
    }
    if (request.path == "/control/forget" && request.method == "POST") {
        const std::lock_guard lock(mutex_);
        events_.clear();
        compactedUpTo_ = revision_;
        return jsonReply(ok, Json::object());
    }
    return jsonReply(notFound, {{"error", "no such control path"}});
}

bool Store::admit(bool isWrite)
{
    const std::lock_guard lock(mutex_);
    auto &rate = isWrite ? writes_ : reads_;
    const auto limit = isWrite ? options_.writesPerSecond : options_.readsPerSecond;
    const auto second = steadyMicroseconds() / microsecondsPerSecond;
    if (rate.second != second) {
        rate.second = second;
        rate.count = 0;
    }
    ++rate.count;
    ++rate.total;
    rate.peakPerSecond = std::max(rate.peakPerSecond, rate.count);
    if (limit > 0 && rate.count > limit) {
        ++rate.refused;
        return false;
    }
    return true;
}

Reply Store::object(const http::Request &request, const ObjectKey &key)
{
    if (request.method == "PUT") {
        return put(request, key);
    }
    if (request.method == "DELETE") {
        return erase(request, key);
    }
    const std::lock_guard lock(mutex_);
    const auto found = objects_.find(key);
    if (found == objects_.end()) {
        return jsonReply(notFound, {{"error", "no such object"}});
    }
    return jsonReply(ok, objectJson(key.first, key.second, found->second.version, found->second.value));
}

Reply Store::list(const std::string &kind)
{
    const std::lock_guard lock(mutex_);
    auto objects = Json::array();
    for (const auto &[key, object] : objects_) {
        if (kind.empty() || key.first == kind) {
            objects.push_back(objectJson(key.first, key.second, object.version, object.value));
        }
    }
    return jsonReply(ok, {{"revision", revision_}, {"objects", objects}});
}

std::uint64_t Store::versionOf(const ObjectKey &key) const
{
    const auto found = objects_.find(key);
    return found == objects_.end() ? 0 : found->second.version;
}

Reply Store::put(const http::Request &request, const ObjectKey &key)
{
    if (request.body.size() > maxValueBytes) {
        return jsonReply(tooLarge, {{"error", "value above 1 MB"}});
    }
    auto value = Json::parse(request.body, nullptr, false);
    if (value.is_discarded()) {
        return jsonReply(badRequest, {{"error", "the value is not JSON"}});
    }
    const auto expected = request.header("if-match");
    const std::lock_guard lock(mutex_);
    if (!expected.empty() && expected != std::to_string(versionOf(key))) {
        return changeReply(preconditionFailed, versionOf(key));
    }
    ++revision_;
    record(objectJson(key.first, key.second, revision_, value));
    objects_[key] = {revision_, std::move(value)};
    return changeReply(ok, revision_);
}

Reply Store::erase(const http::Request &request, const ObjectKey &key)
{
    const auto expected = request.header("if-match");
    const std::lock_guard lock(mutex_);
    const auto version = versionOf(key);
    if (version == 0) {
        return jsonReply(notFound, {{"error", "no such object"}});
    }
    if (!expected.empty() && expected != std::to_string(version)) {
        return changeReply(preconditionFailed, version);
    }
    ++revision_;
    objects_.erase(key);
    record({{"kind", key.first}, {"name", key.second}, {"version", revision_}, {"deleted", true}});
    return changeReply(ok, revision_);
}

void Store::record(const Json &event)
{
    events_.push_back(event);
    if (events_.size() > maxEvents) {
        compactedUpTo_ = events_.front()["version"].get<std::uint64_t>();
        events_.pop_front();
    }
    changed_.notify_all();
}

Reply Store::watch(const http::Request &request)
{
    const auto after = std::strtoull(request.parameter("after").c_str(), nullptr, 10);
    const auto wait = Milliseconds(std::strtoll(request.parameter("waitMs").c_str(), nullptr, 10));
    std::unique_lock lock(mutex_);
    if (after < compactedUpTo_ || after > revision_) {
        return jsonReply(gone, {{"revision", revision_}});
    }
    peakWatches_ = std::max(peakWatches_, ++watches_);
    changed_.wait_for(lock, wait, [&] { return revision_ > after; });
    --watches_;
    if (after < compactedUpTo_) {
        return jsonReply(gone, {{"revision", revision_}});
    }
    auto events = Json::array();
    for (const auto &event : events_) {
        if (event["version"].get<std::uint64_t>() > after) {
            events.push_back(event);
        }
    }
    return jsonReply(ok, {{"revision", revision_}, {"events", events}});
}

Reply Store::instances(const Sender &sender)
{
    const std::lock_guard lock(mutex_);
    while (instances_.size() > 1 && instances_[1].visibleAt <= steadyMicroseconds()) {
        instances_.pop_front();
    }
    auto visible = instances_.front().instances;
    for (auto &instance : visible) {
        if (const auto paths = instance.find("addressFrom"); paths != instance.end()) {
            instance["address"] = paths->value(sender.domain, instance.value("address", std::string()));
            instance.erase("addressFrom");
        }
    }
    return jsonReply(ok, {{"instances", visible}});
}

void Store::addState(Json &state)
{
    const std::lock_guard lock(mutex_);
    state["revision"] = revision_;
    state["objects"] = objects_.size();
    state["writes"] = {{"total", writes_.total}, {"mostPerSecond", writes_.peakPerSecond}, {"refused", writes_.refused}};
    state["reads"] = {{"total", reads_.total}, {"mostPerSecond", reads_.peakPerSecond}, {"refused", reads_.refused}};
    state["watches"] = watches_;
    state["mostWatches"] = peakWatches_;
}

} // namespace cardamomstep::standins
