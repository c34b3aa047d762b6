// Tests of the catalog (versions never decrease, routing of keys) and of the checks of records against each other.
#include "anyrecord.h"
#include "records/catalog.h"
#include "records/checks.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

using namespace cardamomstep;

namespace {

RecordChange change(const char *name, RecordSpec spec, std::uint64_t version)
{
    auto record = std::make_shared<Record>();
    record->name = RecordName{name};
    record->spec = std::move(spec);
    return {record->key(), version, record};
}

RecordChange deletion(RecordKind kind, const char *name, std::uint64_t version)
{
    return {{kind, RecordName{name}}, version, nullptr};
}

DatabaseGroup groupOf(int members)
{
    DatabaseGroup group;
    for (int index = 0; index < members; ++index) {
        group.members.push_back(
            {MemberName{"m" + std::to_string(index)}, FailureDomain{"d"}, Address{"10.0.0.1:" + std::to_string(index + 1)}});
    }
    return group;
}

StopPlan stop(const char *member)
{
    return StopPlan{EndpointTarget{GroupName{"g"}, MemberName{member}}, PlanState::Active, std::nullopt};
}

RoutingIntent intentOf(std::size_t groups)
{
    RoutingIntent intent;
    intent.service = ServiceName{"s"};
    for (std::size_t index = 0; index < groups; ++index) {
        intent.groups.push_back(GroupName{"g" + std::to_string(index)});
    }
    return intent;
}

std::string groupText(const Catalog &catalog, const char *key)
{
    const auto group = catalog.groupFor(ServiceName{"s"}, key);
    return group ? group->text() : std::string(answerRule(group.error().kind).name);
}

} // namespace

Test(catalog, versionsNeverDecreaseInWhateverOrderChangesArrive)
{
    const bool holds = rc::check("the same final state in any order", [](std::uint64_t seed) {
        Random random{seed};
        std::vector<RecordChange> changes;
        for (std::uint64_t version = 11; version < 40; ++version) {
            const auto name = "g" + std::to_string(random.below(4));
            changes.push_back(random.below(3) == 0 ? deletion(RecordKind::DatabaseGroup, name.c_str(), version)
                                                   : change(name.c_str(), test::anyGroup(random), version));
        }
        const auto base = Catalog::fromList({change("g0", test::anyGroup(random), 5)}, 10);
        const auto expected = base->with(changes);
        auto catalog = base;
        while (!changes.empty()) {
            std::swap(changes[random.below(changes.size())], changes.back());
            const auto next = catalog->with({changes.back(), changes[random.below(changes.size())]});
            for (const auto &[key, entry] : catalog->entries()) {
                const auto *newEntry = next->find(key);
                const auto version = newEntry == nullptr ? next->deletions().at(key) : newEntry->version;
                RC_ASSERT(version >= entry.version);
            }
            changes.pop_back();
            catalog = next;
        }
        RC_ASSERT(catalog->deletions() == expected->deletions());
        RC_ASSERT(catalog->entries().size() == expected->entries().size());
        for (const auto &[key, entry] : expected->entries()) {
            RC_ASSERT(catalog->find(key)->version == entry.version);
            RC_ASSERT(*catalog->group(GroupName{key.name.text()}) == std::get<DatabaseGroup>(entry.record->spec));
        }
        RC_ASSERT(catalog->groupNames().size() == expected->entries().size());
    });
    cr_assert(holds);
}

Test(catalog, anOutdatedChangeDoesNotRestoreADeletedRecord)
{
    const auto catalog = Catalog::fromList({change("g", groupOf(3), 5)}, 10)->with({deletion(RecordKind::DatabaseGroup, "g", 12)}, 12);
    cr_assert(catalog->group(GroupName{"g"}) == nullptr);
    cr_assert(catalog->with({change("g", groupOf(3), 11)})->group(GroupName{"g"}) == nullptr);
    const auto listed = catalog->withList({}, 20);
    cr_assert(listed->deletions().empty());
    cr_assert(listed->with({change("g", groupOf(3), 13)})->group(GroupName{"g"}) == nullptr);
    cr_assert(listed->with({change("g", groupOf(3), 21)})->group(GroupName{"g"}) != nullptr);
}

Test(catalog, anOldListRemovesNoNewerRecord)
{
    const auto catalog = Catalog::empty()->with({change("g", groupOf(3), 30)});
    const auto after = catalog->withList({change("h", groupOf(3), 4)}, 20);
    cr_assert(after->group(GroupName{"g"}) != nullptr);
    cr_assert(after->group(GroupName{"h"}) != nullptr);
    cr_assert(after->revision() == 20);
}

Test(catalog, anOldListRestoresNoDeletedRecord)
{
    const auto catalog = Catalog::empty()->with({change("g", groupOf(3), 30)}, 30);
    const auto after = catalog->withList({change("h", groupOf(3), 4)}, 20);
    cr_assert(after->group(GroupName{"g"}) != nullptr);
    cr_assert(after->group(GroupName{"h"}) == nullptr);
    cr_assert(after->revision() == 30);
}

Test(catalog, oldDeletionsAreDroppedButStillRefuseOutdatedChanges)
{
    auto catalog = Catalog::empty();
    for (std::uint64_t round = 0; round < 3; ++round) {
        std::vector<RecordChange> changes;
        for (std::uint64_t index = 1; index <= retainedDeletions; ++index) {
            const auto version = round * retainedDeletions + index;
            changes.push_back(deletion(RecordKind::DatabaseGroup, ("g" + std::to_string(version)).c_str(), version + 1));
        }
        catalog = catalog->with(changes, (round + 1) * retainedDeletions);
    }
    cr_assert(catalog->deletions().size() == retainedDeletions);
    cr_assert(catalog->deletionFloor() == 2 * retainedDeletions + 1);
    cr_assert(catalog->with({change("g1", groupOf(3), 1)})->group(GroupName{"g1"}) == nullptr);
    cr_assert(catalog->deletions().begin()->second > catalog->deletionFloor());
}

Test(catalog, snapshotsAreImmutable)
{
    const auto before = Catalog::fromList({change("g", groupOf(3), 5)}, 5);
    const auto *group = before->group(GroupName{"g"});
    const auto after = before->with({change("g", groupOf(1), 6)});
    cr_assert(before->group(GroupName{"g"}) == group && group->members.size() == 3);
    cr_assert(after->group(GroupName{"g"})->members.size() == 1);
}

Test(catalog, longestMatchingPrefixApplies)
{
    auto intent = intentOf(1);
    intent.prefixes = {{"a", GroupName{"A"}}, {"a/b/c", GroupName{"ABC"}}, {"a/b", GroupName{"AB"}}, {"a/bz", GroupName{"ABZ"}}};
    const auto catalog = Catalog::fromList({change("r", intent, 1)}, 1);
    cr_assert(groupText(*catalog, "a") == "A");
    cr_assert(groupText(*catalog, "a/b/b") == "AB");
    cr_assert(groupText(*catalog, "a/b/cc") == "ABC");
    cr_assert(groupText(*catalog, "a/bb") == "AB");
    cr_assert(groupText(*catalog, "") == "g0");
    cr_assert(groupText(*catalog, "b") == "g0");
    cr_assert(groupText(*Catalog::empty(), "b") == "unknown-service");
}

Test(catalog, prefixRulesAgreeWithALinearSearch)
{
    const bool holds = rc::check("longest match", [](std::uint64_t seed) {
        Random random{seed};
        const auto anyText = [&random](std::uint64_t maxLength) {
            std::string text;
            for (auto left = random.below(maxLength); left > 0; --left) {
                text += static_cast<char>('a' + random.below(2));
            }
            return text;
        };
        auto intent = intentOf(1);
        std::set<std::string> prefixes;
        for (int count = 0; count < 12; ++count) {
            prefixes.insert("a" + anyText(6));
        }
        for (const auto &prefix : prefixes) {
            intent.prefixes.push_back({prefix, GroupName{"x" + prefix}});
        }
        const auto catalog = Catalog::fromList({change("r", intent, 1)}, 1);
        for (int count = 0; count < 20; ++count) {
            const auto key = anyText(10);
            std::string expected = "g0";
            for (const auto &prefix : prefixes) {
                if (key.substr(0, prefix.size()) == prefix) {
                    expected = "x" + prefix;
                }
            }
            RC_ASSERT(groupText(*catalog, key.c_str()) == expected);
        }
    });
    cr_assert(holds);
}

Test(catalog, appendingAGroupMovesOnlyItsFractionOfKeys)
{
    const auto ten = Catalog::fromList({change("r", intentOf(10), 1)}, 1);
    const auto eleven = ten->with({change("r", intentOf(11), 2)});
    int moved = 0;
    for (int key = 0; key < 11000; ++key) {
        const auto text = "key-" + std::to_string(key);
        const auto before = groupText(*ten, text.c_str());
        const auto after = groupText(*eleven, text.c_str());
        cr_assert(before == after || after == "g10");
        moved += before == after ? 0 : 1;
    }
    cr_assert(moved > 800 && moved < 1200, "%d of 11000 moved", moved);
}

Test(catalog, ofTwoIntentsOfOneServiceTheLowestRecordNameApplies)
{
    auto second = intentOf(1);
    second.groups = {GroupName{"other"}};
    const auto catalog = Catalog::fromList({change("b", second, 1), change("a", intentOf(1), 2)}, 2);
    cr_assert(groupText(*catalog, "k") == "g0");
    cr_assert(groupText(*catalog->with({deletion(RecordKind::RoutingIntent, "a", 3)}), "k") == "other");
}

Test(catalog, intentsNeedExistingGroupsAndAServiceOfTheirOwn)
{
    const auto catalog = Catalog::fromList({change("g0", groupOf(3), 1), change("r", intentOf(1), 2)}, 2);
    cr_assert(checkCandidate(*catalog, *change("r", intentOf(1), 3).record).empty());
    const auto errors = checkCandidate(*catalog, *change("q", intentOf(2), 3).record);
    cr_assert(errors.size() == 2);
    cr_assert(std::all_of(errors.begin(), errors.end(), [](const Error &error) { return error.kind == ErrorKind::InvalidRecord; }));
    cr_assert(checkRemoval(*catalog, {RecordKind::DatabaseGroup, RecordName{"g0"}}).size() == 1);
    cr_assert(checkRemoval(*catalog, {RecordKind::RoutingIntent, RecordName{"r"}}).empty());
}

Test(catalog, plansThatLeaveNoMajorityAreRefused)
{
    const auto catalog = Catalog::fromList({change("g", groupOf(3), 1), change("p", stop("m0"), 2)}, 2);
    cr_assert(checkCandidate(*catalog, *change("p", stop("m1"), 3).record).empty(), "a plan may be changed");
    cr_assert(checkCandidate(*catalog, *change("q", stop("m0"), 3).record).empty(), "the same member twice is one member");
    const auto errors = checkCandidate(*catalog, *change("q", stop("m1"), 3).record);
    cr_assert(errors.size() == 1 && errors[0].kind == ErrorKind::PlanRefused);
    cr_assert(checkCandidate(*catalog, *change("q", stop("m9"), 3).record).at(0).kind == ErrorKind::InvalidRecord);
    cr_assert(checkCandidate(*catalog, *change("g", groupOf(2), 3).record).at(0).kind == ErrorKind::PlanRefused);
    auto ended = stop("m1");
    ended.state = PlanState::Ended;
    cr_assert(checkCandidate(*catalog, *change("q", ended, 3).record).empty());
    cr_assert(checkRemoval(*catalog, {RecordKind::DatabaseGroup, RecordName{"g"}}).size() == 1);
}

Test(catalog, concurrentPlansTakeEffectInOrderOfVersion)
{
    const auto catalog = Catalog::fromList({change("g", groupOf(3), 1), change("q", stop("m1"), 2), change("p", stop("m0"), 3)}, 3);
    cr_assert(leavingMembers(*catalog, GroupName{"g"}) == std::vector<MemberName>{MemberName{"m1"}});
    cr_assert(leavingMembers(*catalog->with({deletion(RecordKind::StopPlan, "q", 4)}), GroupName{"g"})
              == std::vector<MemberName>{MemberName{"m0"}});
    const auto five = catalog->with({change("g", groupOf(5), 4)});
    cr_assert(leavingMembers(*five, GroupName{"g"}).size() == 2);
}
