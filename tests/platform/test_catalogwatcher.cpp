// Tests of member entries and configurations that arrive with renewals, with the real parts of a proxy and without a store.
#include "gateway/catalogwatcher.h"
#include "platform/objectstore.h"

#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <vector>

using namespace cardamomstep;
using namespace cardamomstep::gateway;
using platform::ObjectStore;

namespace {

Revision revision(std::uint64_t number, std::uint64_t epoch = 1)
{
    return {number, StoreEpoch{epoch}};
}

StoredObject member(const std::string &name, Revision version, const std::string &state)
{
    const auto value =
        R"({"service":"db","address":"10.0.0.1:7","zone":"z","slots":2,"state":")" + state + R"(","born":12,"currentRole":"primary"})";
    return {ObjectKind{}, ObjectName{name}, version, value, false};
}

/// The catalog of a proxy that makes no calls; everything comes with replies to renewals.
struct Relayed {
    Relayed()
    {
        settings.instance = InstanceName{"proxy-1"};
        settings.store = Address{"127.0.0.1:1"};
        catalog.start();
        StoreWatcherHandlers handlers;
        handlers.relayed = [](const ObjectUpdate &) {
        };
        proxies = std::make_shared<StoreWatcher<ObjectStore>>(
            loop, ObjectStore(loop, settings.store, epochs), ObjectKind{"fleet"}, WatchResumeOptions{}, Milliseconds{1}, 1, handlers);
        proxies->pause();
        relay.attach(CatalogPart::Proxies, proxies);
    }

    /// Applies a reply to a renewal that was requested at \a requestedAt.
    void renew(CatalogPart part, const RelayedObjects &objects, TimePoint requestedAt)
    {
        fleet::RenewReply reply;
        reply.granted = true;
        reply.catalogAge = Milliseconds{0};
        reply.catalog.push_back({part, objects, fleet::RelayedContent::Sent, Milliseconds{0}});
        relay.onRenewReply(reply, requestedAt, evloop::bootTimeNow());
    }

    boost::asio::io_context loop;
    SessionSettings settings;
    std::shared_ptr<StoreEpochs> epochs = std::make_shared<StoreEpochs>();
    relay::MemberDirectory directory;
    std::vector<std::uint64_t> versions;
    CatalogRelay<StoreWatcher<ObjectStore>> relay{epochs,
                                                  {[] {},
                                                   [](LogLevel, std::string_view, const std::vector<LogField> &) {
                                                   }}};
    CatalogWatcher<ObjectStore> catalog{loop,
                                        settings,
                                        epochs,
                                        std::make_shared<StoreCalls>(),
                                        relay,
                                        directory,
                                        {[this](const relay::Configuration &configuration, Revision) {
                                             versions.push_back(static_cast<std::uint64_t>(configuration.version));
                                         },
                                         [] {},
                                         [](std::string_view) {},
                                         [](LogLevel, std::string_view, const std::vector<LogField> &) {
                                         }}};
    std::shared_ptr<StoreWatcher<ObjectStore>> proxies;
};

} // namespace

// Guards against members that are dropped because their entries expired in an outage of the store that this proxy did not notice.
Test(catalogwatcher, aRelayedRemovalIsKeptForTheExpiryGrace)
{
    Relayed proxy;
    const auto now = evloop::bootTimeNow();
    proxy.renew(CatalogPart::Members,
                {revision(0), revision(9), true, {member("m-1", revision(3), "ready"), member("m-2", revision(4), "ready")}},
                now);
    cr_assert(proxy.catalog.membersListed());
    cr_assert(proxy.directory.all().size() == 2);
    auto removed = member("m-1", revision(11), "ready");
    removed.deleted = true;
    proxy.renew(CatalogPart::Members, {revision(9), revision(12), false, {removed}}, now);
    cr_assert(proxy.directory.all().size() == 2, "the removal is not trusted yet");
    // A complete listing without the member is no better proof.
    proxy.renew(CatalogPart::Members, {revision(12), revision(20, 2), true, {member("m-2", revision(15, 2), "ready")}}, now);
    cr_assert(proxy.directory.all().size() == 2);
    const auto later = evloop::bootTimeNow() + relay::DirectoryLimits{}.expiryGrace + Milliseconds{10};
    cr_assert(proxy.directory.expire(later));
    cr_assert(proxy.directory.find(MemberName{"m-1"}) == nullptr);
}

// Guards against a member that gets work at the end of its drain time, because its announcement counts from when it was relayed.
Test(catalogwatcher, aRelayedDrainCountsFromTheLastTimeThatEverythingWasKnown)
{
    Relayed proxy;
    const auto now = evloop::bootTimeNow();
    proxy.renew(CatalogPart::Members, {revision(0), revision(9), true, {member("m-1", revision(3), "ready")}}, now - Milliseconds{800});
    proxy.renew(CatalogPart::Members, {revision(9), revision(12), false, {member("m-1", revision(11), "draining")}}, now);
    const auto since = proxy.directory.drainingSince(MemberName{"m-1"});
    cr_assert(since && *since == now - Milliseconds{800});
}

// Guards against an object of an outdated epoch, and against one that ends the process or replaces the configuration in force.
Test(catalogwatcher, outdatedAndUnreadableConfigurationsAreNotApplied)
{
    Relayed proxy;
    (void)proxy.epochs->observe(StoreEpoch{2});
    const auto now = evloop::bootTimeNow();
    const auto configuration = [](Revision version, const std::string &value) {
        return StoredObject{ObjectKind{}, ObjectName{"main"}, version, value, false};
    };
    proxy.renew(CatalogPart::Configuration,
                {revision(0), revision(9), true, {configuration(revision(8), R"({"version":3,"routes":[],"services":[]})")}},
                now);
    cr_assert(proxy.versions.empty(), "of epoch 1");
    proxy.renew(CatalogPart::Configuration,
                {revision(0), revision(7, 2), true, {configuration(revision(6, 2), R"({"version":4,"routes":[],"services":[]})")}},
                now);
    cr_assert(proxy.versions.size() == 1);
    proxy.renew(
        CatalogPart::Configuration, {revision(7, 2), revision(9, 2), false, {configuration(revision(8, 2), "{\"version\":[")}}, now);
    proxy.renew(CatalogPart::Configuration,
                {revision(7, 2), revision(8, 2), false, {configuration(revision(6, 2), R"({"version":2,"routes":[],"services":[]})")}},
                now);
    cr_assert(proxy.versions.size() == 1);
    // A later epoch that a peer knows counts as seen.
    proxy.renew(CatalogPart::Configuration,
                {revision(9, 2), revision(3, 3), true, {configuration(revision(2, 3), R"({"version":5,"routes":[],"services":[]})")}},
                now);
    cr_assert(proxy.epochs->newest() == StoreEpoch{3});
    cr_assert(proxy.versions.back() == 5);
}

// A listing dropped a member whose entry another writer had overwritten, and a watch kept it as it was before.
Test(catalogwatcher, anEntryThatBecomesUnreadableNamesNoMemberUntilItIsWrittenAgain)
{
    Relayed proxy;
    const auto now = evloop::bootTimeNow();
    proxy.renew(CatalogPart::Members,
                {revision(0), revision(9), true, {member("m-1", revision(3), "ready"), member("m-2", revision(4), "ready")}},
                now);
    const StoredObject overwritten{ObjectKind{}, ObjectName{"m-1"}, revision(11), "null", false};
    proxy.renew(CatalogPart::Members, {revision(9), revision(12), false, {overwritten}}, now);
    cr_assert(proxy.directory.find(MemberName{"m-1"}) == nullptr);
    cr_assert(proxy.directory.find(MemberName{"m-2"}) != nullptr);
    proxy.renew(CatalogPart::Members, {revision(12), revision(14), false, {member("m-1", revision(13), "ready")}}, now);
    cr_assert(proxy.directory.find(MemberName{"m-1"}) != nullptr);
}
