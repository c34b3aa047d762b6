// Tests of the known configuration: no order of events reverts an object.
#include "configuration/state.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <map>

using namespace cardamomstep;

namespace {

StoredObject objectAt(const std::string &name, std::uint64_t version)
{
    return {ObjectKind{"group"}, ObjectName{name}, Revision{version}, "{\"v\":" + std::to_string(version) + "}", false};
}

StoredObject deletionAt(const std::string &name, std::uint64_t version)
{
    return {ObjectKind{"group"}, ObjectName{name}, Revision{version}, {}, true};
}

ObjectKey keyOf(const std::string &name)
{
    return {ObjectKind{"group"}, ObjectName{name}};
}

} // namespace

Test(configuration, staleListingAfterANewerChangeIsIgnored)
{
    ConfigurationState state;
    state.applyListing({Revision{5}, {objectAt("x", 5)}});
    state.applyChanges({Revision{5}, Revision{9}, {objectAt("x", 8), objectAt("y", 9)}, false});
    const auto before = state.digest();
    cr_assert(state.applyListing({Revision{6}, {objectAt("x", 5)}}).empty());
    cr_assert(state.digest() == before);
    cr_assert(state.find(keyOf("x"))->version == Revision{8});
    cr_assert(state.find(keyOf("y")) != nullptr);
}

Test(configuration, listingKeepsNewerChangesOfPeers)
{
    ConfigurationState state;
    state.applyChange(objectAt("new", 12));
    state.applyListing({Revision{10}, {objectAt("x", 5)}});
    cr_assert(state.find(keyOf("new")) != nullptr);
    cr_assert(state.digest().complete == Revision{10});
    cr_assert(state.digest().highest == Revision{12});
}

Test(configuration, peerWithAnOlderVersionDoesNotUndoADeletion)
{
    ConfigurationState state{{.maxTombstones = 2}};
    state.applyListing({Revision{5}, {objectAt("x", 3)}});
    cr_assert(state.applyChange(deletionAt("x", 8)));
    cr_assert(!state.applyChange(objectAt("x", 3)));
    cr_assert(!state.applyChange(objectAt("x", 7)));
    state.applyChanges({Revision{5}, Revision{20}, {deletionAt("x", 8)}, false});
    for (std::uint64_t version = 21; version < 40; ++version) {
        state.applyChanges({Revision{version - 1}, Revision{version}, {deletionAt("o" + std::to_string(version), version)}, false});
    }
    cr_assert(state.tombstones() == 2);
    cr_assert(!state.applyChange(objectAt("x", 7)));
    cr_assert(state.applyDelta({{}, Revision{7}, {objectAt("x", 7)}, true, {}}).empty());
    cr_assert(state.find(keyOf("x")) == nullptr);
    cr_assert(state.applyChange(objectAt("x", 41)));
}

Test(configuration, peerFromBeforeTheOldestTombstoneGetsAllObjects)
{
    ConfigurationState state{{.maxTombstones = 1}};
    ConfigurationState outdatedPeer;
    const StoreListing first{Revision{3}, {objectAt("x", 1), objectAt("y", 2), objectAt("z", 3)}};
    state.applyListing(first);
    outdatedPeer.applyListing(first);
    state.applyChanges({Revision{3}, Revision{6}, {deletionAt("x", 4), deletionAt("y", 5), objectAt("z", 6)}, false});
    const auto delta = state.deltaFor(outdatedPeer.digest());
    cr_assert(delta.isFullState);
    cr_assert(outdatedPeer.applyDelta(delta).size() == 3);
    cr_assert(outdatedPeer.digest().sameContent(state.digest()));
}

Test(configuration, deltaAcrossAListingIncludesItsDeletions)
{
    ConfigurationState state;
    ConfigurationState outdatedPeer;
    const StoreListing first{Revision{3}, {objectAt("x", 1), objectAt("y", 2), objectAt("z", 3)}};
    state.applyListing(first);
    outdatedPeer.applyListing(first);
    state.applyListing({Revision{9}, {objectAt("y", 2), objectAt("w", 8)}});
    const auto delta = state.deltaFor(outdatedPeer.digest());
    cr_assert(!delta.isFullState);
    cr_assert(outdatedPeer.applyDelta(delta).size() == 3);
    cr_assert(outdatedPeer.digest().sameContent(state.digest()));
}

Test(configuration, peerWithAChangeInsideAGapGetsAllObjects)
{
    ConfigurationState state;
    ConfigurationState outdatedPeer;
    const StoreListing first{Revision{3}, {objectAt("x", 1)}};
    state.applyListing(first);
    outdatedPeer.applyListing(first);
    // Created at 5 and deleted at 6: only the outdated peer knows it; the listing at 9 does not show it.
    outdatedPeer.applyChange(objectAt("brief", 5));
    state.applyListing({Revision{9}, {objectAt("x", 1)}});
    outdatedPeer.applyDelta(state.deltaFor(outdatedPeer.digest()));
    cr_assert(outdatedPeer.find(keyOf("brief")) == nullptr);
    cr_assert(outdatedPeer.digest().sameContent(state.digest()));
}

namespace {

/// A store's history, parts of which nodes receive in any order.
struct History {
    std::vector<StoredObject> changes;

    StoreListing listingAt(std::uint64_t revision) const
    {
        std::map<ObjectKey, StoredObject> held;
        for (const auto &change : changes) {
            if (change.version.value > revision) {
                break;
            }
            if (change.deleted) {
                held.erase(change.key());
            } else {
                held[change.key()] = change;
            }
        }
        StoreListing listing{Revision{revision}, {}};
        for (const auto &[key, object] : held) {
            listing.objects.push_back(object);
        }
        return listing;
    }

    StoreChanges changesBetween(std::uint64_t after, std::uint64_t upTo) const
    {
        StoreChanges result{Revision{after}, Revision{upTo}, {}, false};
        for (const auto &change : changes) {
            if (change.version.value > after && change.version.value <= upTo) {
                result.changes.push_back(change);
            }
        }
        return result;
    }
};

History randomHistory(std::size_t length)
{
    History history;
    for (std::uint64_t version = 1; version <= length; ++version) {
        const auto name = "o" + std::to_string(*rc::gen::inRange(0, 5));
        const bool deletes = *rc::gen::inRange(0, 3) == 0;
        history.changes.push_back(deletes ? deletionAt(name, version) : objectAt(name, version));
    }
    return history;
}

using AppliedVersions = std::map<ObjectKey, std::pair<Revision, bool>>;

/// Asserts that no object went back to an older version and no deleted one reappeared.
void assertNoneReverts(const ConfigurationState &state,
                       const std::vector<StoredObject> &applied,
                       AppliedVersions &appliedVersions,
                       Revision completeBefore)
{
    for (const auto &change : applied) {
        const auto earlier = appliedVersions.find(change.key());
        if (earlier != appliedVersions.end()) {
            RC_ASSERT(change.version > earlier->second.first);
        }
        appliedVersions[change.key()] = {change.version, change.deleted};
    }
    RC_ASSERT(state.digest().complete >= completeBefore);
}

} // namespace

Test(configuration, allNodesConvergeAndNoneReverts)
{
    // Read by rapidcheck at its first check; each test has its own process.
    setenv("RC_PARAMS", "max_success=10000", 0);
    const bool holds = rc::check("nodes converge, none reverts", [] {
        const auto length = *rc::gen::inRange<std::size_t>(1, 40);
        const auto history = randomHistory(length);
        constexpr std::size_t nodes = 4;
        std::vector<ConfigurationState> states(nodes, ConfigurationState{{.maxTombstones = 3}});
        std::vector<AppliedVersions> appliedVersions(nodes);
        const auto steps = *rc::gen::inRange(0, 80);
        const auto revision = [&] {
            return *rc::gen::inRange<std::uint64_t>(0, length + 1);
        };
        for (int step = 0; step < steps; ++step) {
            const auto node = *rc::gen::inRange<std::size_t>(0, nodes);
            const auto peer = *rc::gen::inRange<std::size_t>(0, nodes);
            const auto before = states[node].digest().complete;
            std::vector<StoredObject> applied;
            switch (*rc::gen::inRange(0, 5)) {
            case 0: {
                const auto &change = history.changes[*rc::gen::inRange<std::size_t>(0, length)];
                if (states[node].applyChange(change)) {
                    applied.push_back(change);
                }
                break;
            }
            case 1:
                applied = states[node].applyListing(history.listingAt(revision()));
                break;
            case 2: {
                const auto after = revision();
                applied = states[node].applyChanges(history.changesBetween(after, std::max(after, revision())));
                break;
            }
            case 3:
                applied = states[node].applyDelta(states[peer].deltaFor(states[node].digest()));
                break;
            default:
                applied = states[node].applyDelta(states[peer].fullState());
                break;
            }
            assertNoneReverts(states[node], applied, appliedVersions[node], before);
        }
        // One node gets a new listing from the store; the others get deltas only from that node.
        states[0].applyListing(history.listingAt(length));
        for (std::size_t node = 1; node < nodes; ++node) {
            for (std::size_t round = 0; round <= length && states[node].digest().complete.value < length; ++round) {
                const auto before = states[node].digest().complete;
                const auto applied = states[node].applyDelta(states[0].deltaFor(states[node].digest()));
                assertNoneReverts(states[node], applied, appliedVersions[node], before);
            }
        }
        const auto truth = history.listingAt(length);
        for (const auto &state : states) {
            RC_ASSERT(state.digest().sameContent(states[0].digest()));
            RC_ASSERT(state.size() == truth.objects.size());
            for (const auto &object : truth.objects) {
                RC_ASSERT(state.find(object.key()) != nullptr);
                RC_ASSERT(*state.find(object.key()) == object);
            }
        }
    });
    cr_assert(holds);
}
