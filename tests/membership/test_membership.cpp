// Tests of group ownership by rendezvous hashing.
#include "membership/rendezvous.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

using namespace cardamomstep;

namespace {

const std::vector<FailureDomain> threeDomains{FailureDomain{"a"}, FailureDomain{"b"}, FailureDomain{"c"}};

std::vector<LiveInstance> fleetOf(std::size_t count)
{
    std::vector<LiveInstance> instances;
    for (std::size_t index = 0; index < count; ++index) {
        instances.push_back({InstanceName{"p" + std::to_string(index)}, threeDomains[index % 3], Address{"10.0.0.1:1"}});
    }
    return instances;
}

GroupName groupAt(std::size_t index)
{
    return GroupName{"ledger-" + std::to_string(index)};
}

} // namespace

Test(membership, oneOwnerForEachFailureDomain)
{
    const InstanceSet set{fleetOf(7)};
    for (std::size_t index = 0; index < 100; ++index) {
        const auto owners = set.owners(groupAt(index), threeDomains);
        cr_assert(owners.size() == 3);
        std::set<FailureDomain> domains;
        for (const auto *owner : owners) {
            domains.insert(owner->domain);
        }
        cr_assert(domains.size() == 3);
        cr_assert(set.ownerNear(groupAt(index), threeDomains, FailureDomain{"b"})->domain == FailureDomain{"b"});
    }
    cr_assert(InstanceSet{}.owners(groupAt(0), threeDomains).empty());
    cr_assert(InstanceSet{}.ownerNear(groupAt(0), threeDomains, threeDomains[0]) == nullptr);
}

Test(membership, groupWithoutProxyInItsDomainsHasOneOwner)
{
    const InstanceSet set{fleetOf(6)};
    cr_assert(set.owners(groupAt(1), {FailureDomain{"elsewhere"}}).size() == 1);
}

Test(membership, removalAffectsOnlyTheRemovedOwnersGroups)
{
    const bool holds = rc::check("removal changes the owners of its own groups only", [] {
        const auto size = *rc::gen::inRange<std::size_t>(4, 40);
        const auto removed = *rc::gen::inRange<std::size_t>(0, size);
        auto instances = fleetOf(size);
        const InstanceSet before{instances};
        const auto removedName = instances[removed].name;
        instances.erase(instances.begin() + static_cast<std::ptrdiff_t>(removed));
        std::reverse(instances.begin(), instances.end());
        const InstanceSet after{instances};
        for (std::size_t index = 0; index < 50; ++index) {
            for (const auto *owner : before.owners(groupAt(index), threeDomains)) {
                if (owner->name != removedName) {
                    RC_ASSERT(after.rank(groupAt(index), threeDomains, owner->name).has_value());
                }
            }
        }
    });
    cr_assert(holds);
}

Test(membership, rankIsTheIndexAmongTheOwners)
{
    const bool holds = rc::check("rank is the index among the owners", [] {
        const InstanceSet set{fleetOf(*rc::gen::inRange<std::size_t>(1, 30))};
        std::vector<FailureDomain> domains{FailureDomain{"elsewhere"}};
        domains.insert(domains.end(), threeDomains.begin(), threeDomains.begin() + *rc::gen::inRange(0, 4));
        const auto group = groupAt(*rc::gen::inRange<std::size_t>(0, 1000));
        const auto owners = set.owners(group, domains);
        for (const auto &instance : set.instances()) {
            const auto own = std::find_if(owners.begin(), owners.end(), [&](const auto *owner) { return owner->name == instance.name; });
            const auto rank = set.rank(group, domains, instance.name);
            RC_ASSERT(rank.has_value() == (own != owners.end()));
            RC_ASSERT(!rank || *rank == static_cast<std::size_t>(own - owners.begin()));
        }
        RC_ASSERT(!set.rank(group, domains, InstanceName{"unknown"}).has_value());
    });
    cr_assert(holds);
}

Test(membership, groupsAndRanksAreDistributedEvenly)
{
    const InstanceSet set{fleetOf(30)};
    std::map<InstanceName, int> owned;
    std::map<InstanceName, int> first;
    constexpr std::size_t groups = 3000;
    for (std::size_t index = 0; index < groups; ++index) {
        const auto owners = set.owners(groupAt(index), threeDomains);
        ++first[owners.front()->name];
        for (const auto *owner : owners) {
            ++owned[owner->name];
        }
    }
    for (const auto &[name, count] : owned) {
        cr_assert(count > 220 && count < 380, "%s owns %d of an even 300", name.text().c_str(), count);
        cr_assert(first[name] > 60 && first[name] < 145, "%s is first for %d of an even 100", name.text().c_str(), first[name]);
    }
}
