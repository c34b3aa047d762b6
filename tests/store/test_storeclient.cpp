// Tests of the store client against a fake store over HTTP.
#include "http/server.h"
#include "modelstore.h"
#include "store/storeclient.h"
#include "store/writer.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <mutex>
#include <thread>

using namespace cardamomstep;
using Json = nlohmann::json;

namespace {

constexpr Milliseconds callTimeout{5000};
const ObjectKey key{ObjectKind{"group"}, ObjectName{"ledger-1"}};

Json jsonOf(const StoredObject &object)
{
    Json json{{"kind", object.kind.text()}, {"name", object.name.text()}, {"version", object.version.value}};
    if (object.deleted) {
        json["deleted"] = true;
    } else {
        json["value"] = Json::parse(object.value);
    }
    return json;
}

Json jsonOf(const std::vector<StoredObject> &objects)
{
    auto list = Json::array();
    for (const auto &object : objects) {
        list.push_back(jsonOf(object));
    }
    return list;
}

/// The platform's interface on top of a ModelStore; can reply with an error although a change took effect.
class FakeStore
{
public:
    explicit FakeStore(const std::string &address)
        : server_(http::Server::start({.listen = Address{address}}, [this](const http::Request &request) { return handle(request); }))
    {
        cr_assert(bool(server_));
    }

    /// Number of further changes whose replies are lost.
    std::atomic<int> lostReplies{0};
    /// Status of all replies; 0 for regular ones.
    std::atomic<int> forcedStatus{0};
    std::atomic<int> requests{0};
    std::string lastFrom;

private:
    http::Response handle(const http::Request &request)
    {
        const std::lock_guard lock(mutex_);
        ++requests;
        lastFrom = request.header("x-from");
        if (forcedStatus != 0) {
            return {forcedStatus, {}, "{}"};
        }
        if (request.path == "/v1/instances") {
            return {200, {}, R"({"instances":[{"name":"p1","domain":"a","address":"10.0.0.1:1","state":"leaving"}]})"};
        }
        if (request.path == "/v1/watch") {
            const auto changes = store_.watch(Revision{std::stoull(request.parameter("after"))});
            return {200, {}, Json{{"revision", changes.revision.value}, {"events", jsonOf(changes.changes)}}.dump()};
        }
        if (request.path == "/v1/objects") {
            const auto listing = store_.list();
            return {200, {}, Json{{"revision", listing.revision.value}, {"objects", jsonOf(listing.objects)}}.dump()};
        }
        if (request.method == "GET") {
            const auto object = store_.get(key);
            return object ? http::Response{200, {}, jsonOf(*object).dump()} : http::Response{404, {}, "{}"};
        }
        const bool removal = request.method == "DELETE";
        const auto reply = store_.apply({key, request.body, Revision{std::stoull(request.header("if-match"))}, {}, removal});
        if (lostReplies > 0) {
            --lostReplies;
            return {503, {}, "{}"};
        }
        return {reply.kind == WriteReplyKind::Written ? 200 : 412, {}, Json{{"version", reply.version.value}}.dump()};
    }

    std::mutex mutex_;
    test::ModelStore store_;
    Result<std::unique_ptr<http::Server>> server_;
};

StoreOptions optionsFor(const std::string &address)
{
    return {.store = Address{address}, .instance = InstanceName{"p1"}, .domain = FailureDomain{"a"}};
}

std::string valueBy(const std::string &nonce, const StoredObject *replaced = nullptr)
{
    return *withWriterStamp(R"({"members":3})", WriterNonce{nonce}, replaced);
}

} // namespace

Test(storeclient, putGetListWatchRemove)
{
    FakeStore fake{"127.0.0.1:18201"};
    StoreClient store{optionsFor("127.0.0.1:18201")};
    cr_assert(store.get(key, callTimeout).error().kind == ErrorKind::NotFound);
    const auto put = store.put(key, valueBy("n1"), {}, WriterNonce{"n1"}, callTimeout);
    cr_assert((bool(put) && *put == StoreWritten{Revision{1}, false}));
    const auto read = store.get(key, callTimeout);
    cr_assert((bool(read) && read->version == Revision{1} && readWriterStamp(read->value).nonce == WriterNonce{"n1"}));
    const auto listing = store.list({}, callTimeout);
    cr_assert((bool(listing) && listing->objects.size() == 1 && listing->revision == Revision{1}));
    cr_assert(store.put(key, valueBy("n2"), {}, WriterNonce{"n2"}, callTimeout).error().kind == ErrorKind::Conflict);
    cr_assert(bool(store.remove(key, Revision{1}, callTimeout)));
    const auto changes = store.watch(Revision{1}, Milliseconds{10});
    cr_assert((bool(changes) && changes->changes.size() == 1 && changes->changes[0].deleted));
    const auto instances = store.instances(callTimeout);
    cr_assert((bool(instances) && instances->size() == 1 && instances->front().state == ListedState::Leaving));
    cr_assert(fake.lastFrom == "p1/a");
}

Test(storeclient, writesWithLostRepliesAreResolved)
{
    FakeStore fake{"127.0.0.1:18202"};
    StoreClient store{optionsFor("127.0.0.1:18202")};
    fake.lostReplies = 1;
    const auto created = store.put(key, valueBy("n1"), {}, WriterNonce{"n1"}, callTimeout);
    cr_assert((bool(created) && *created == StoreWritten{Revision{1}, true}));
    const auto stored = store.get(key, callTimeout);
    fake.lostReplies = 2;
    const auto changed = store.put(key, valueBy("n2", &*stored), Revision{1}, WriterNonce{"n2"}, callTimeout);
    cr_assert((bool(changed) && *changed == StoreWritten{Revision{2}, true}));
    cr_assert(store.counts().resolved == 2);
}

Test(storeclient, exactlyOneOfConcurrentPutsSucceeds)
{
    FakeStore fake{"127.0.0.1:18203"};
    StoreClient store{optionsFor("127.0.0.1:18203")};
    std::atomic<int> won{0};
    std::vector<std::thread> writers;
    for (int writer = 0; writer < 6; ++writer) {
        writers.emplace_back([&, nonce = "n" + std::to_string(writer)] {
            won += store.put(key, valueBy(nonce), {}, WriterNonce{nonce}, callTimeout) ? 1 : 0;
        });
    }
    for (auto &writer : writers) {
        writer.join();
    }
    cr_assert(won == 1);
}

Test(storeclient, outageIsReportedWithARetryAfter)
{
    StoreClient unreachable{optionsFor("127.0.0.1:18204")};
    const auto read = unreachable.get(key, Milliseconds{200});
    cr_assert(read.error().kind == ErrorKind::StoreUnavailable);
    cr_assert(read.error().retryAfter.has_value());
    const auto put = unreachable.put(key, valueBy("n1"), {}, WriterNonce{"n1"}, Milliseconds{200});
    cr_assert(put.error().kind == ErrorKind::StoreUnavailable);
    cr_assert(put.error().ran == Ran::No);
    FakeStore fake{"127.0.0.1:18205"};
    fake.forcedStatus = 503;
    StoreClient store{optionsFor("127.0.0.1:18205")};
    cr_assert(store.list({}, callTimeout).error().kind == ErrorKind::StoreUnavailable);
    cr_assert(store.put(key, valueBy("n1"), {}, WriterNonce{"n1"}, Milliseconds{200}).error().kind == ErrorKind::StoreOutcomeUnknown);
}

Test(storeclient, callsWaitForTheBudgetWithinTheirTimeout)
{
    FakeStore fake{"127.0.0.1:18207"};
    auto options = optionsFor("127.0.0.1:18207");
    options.budget = {{50, 1}, {50, 1}};
    StoreClient client{options};
    Revision revision;
    for (int call = 0; call < 5; ++call) {
        const auto listed = client.list(ObjectKind{}, callTimeout);
        cr_assert(bool(listed), "read %d", call);
        const auto nonce = "n" + std::to_string(call);
        revision = client.put(key, valueBy(nonce), revision, WriterNonce{nonce}, callTimeout)->version;
    }
}

Test(storeclient, callsAboveTheBudgetAreRefusedLocally)
{
    FakeStore fake{"127.0.0.1:18206"};
    auto options = optionsFor("127.0.0.1:18206");
    options.budget = {{0.001, 3}, {0.001, 1}};
    StoreClient store{options};
    for (int call = 0; call < 10; ++call) {
        (void)store.get(key, callTimeout);
    }
    const auto refused = store.get(key, callTimeout);
    cr_assert(refused.error().kind == ErrorKind::StoreUnavailable);
    cr_assert(refused.error().retryAfter > Milliseconds{1000});
    cr_assert(fake.requests == 3);
}
