// Scores instances for groups and picks the best of each failure domain.
#include "membership/rendezvous.h"

#include "base/hash.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cardamomstep {

namespace {

/// Mixes two hashes into a uniformly distributed score.
constexpr std::uint64_t scoreOf(std::uint64_t group, std::uint64_t instance) noexcept
{
    auto mixed = group ^ (instance * 0x9e3779b97f4a7c15ULL);
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31U);
}

} // namespace

InstanceSet::InstanceSet(std::vector<LiveInstance> instances)
    : instances_(std::move(instances))
{
    std::sort(instances_.begin(), instances_.end());
    const auto sameName = [](const LiveInstance &left, const LiveInstance &right) {
        return left.name == right.name;
    };
    instances_.erase(std::unique(instances_.begin(), instances_.end(), sameName), instances_.end());
    for (std::size_t index = 0; index < instances_.size(); ++index) {
        byDomain_[instances_[index].domain].push_back({stableHash(instances_[index].name.text()), index});
    }
}

std::optional<InstanceSet::Choice> InstanceSet::choose(std::uint64_t groupHash, const std::vector<Candidate> &candidates) const
{
    std::optional<Choice> chosen;
    for (const auto &candidate : candidates) {
        const auto score = scoreOf(groupHash, candidate.hash);
        const bool better = !chosen || score > chosen->score
            || (score == chosen->score && instances_[candidate.index].name < instances_[chosen->index].name);
        if (better) {
            chosen = Choice{score, candidate.index};
        }
    }
    return chosen;
}

std::vector<const LiveInstance *> InstanceSet::owners(const GroupName &group, const std::vector<FailureDomain> &domains) const
{
    const auto groupHash = stableHash(group.text());
    std::vector<Choice> choices;
    const auto addBest = [&](const std::vector<Candidate> &candidates) {
        const auto chosen = choose(groupHash, candidates);
        const bool alreadyChosen =
            std::any_of(choices.begin(), choices.end(), [&](const Choice &other) { return chosen && other.index == chosen->index; });
        if (chosen && !alreadyChosen) {
            choices.push_back(*chosen);
        }
    };
    for (const auto &domain : domains) {
        const auto found = byDomain_.find(domain);
        if (found != byDomain_.end()) {
            addBest(found->second);
        }
    }
    const bool noDomainMatched = choices.empty();
    if (noDomainMatched) {
        for (const auto &[domain, candidates] : byDomain_) {
            addBest(candidates);
        }
    }
    std::sort(choices.begin(), choices.end(), [this](const Choice &left, const Choice &right) {
        return std::tie(right.score, instances_[left.index].name) < std::tie(left.score, instances_[right.index].name);
    });
    if (noDomainMatched && choices.size() > 1) {
        choices.resize(1);
    }
    std::vector<const LiveInstance *> owners;
    owners.reserve(choices.size());
    for (const auto &choice : choices) {
        owners.push_back(&instances_[choice.index]);
    }
    return owners;
}

const LiveInstance *
InstanceSet::ownerNear(const GroupName &group, const std::vector<FailureDomain> &domains, const FailureDomain &callerDomain) const
{
    const auto all = owners(group, domains);
    const auto near = std::find_if(all.begin(), all.end(), [&](const LiveInstance *owner) { return owner->domain == callerDomain; });
    if (near != all.end()) {
        return *near;
    }
    return all.empty() ? nullptr : all.front();
}

bool InstanceSet::isOutscored(std::uint64_t groupHash, const LiveInstance &instance) const
{
    const auto own = scoreOf(groupHash, stableHash(instance.name.text()));
    const auto &candidates = byDomain_.at(instance.domain);
    return std::any_of(candidates.begin(), candidates.end(), [&](const Candidate &other) { return scoreOf(groupHash, other.hash) > own; });
}

std::optional<std::size_t>
InstanceSet::rank(const GroupName &group, const std::vector<FailureDomain> &domains, const InstanceName &instance) const
{
    const auto *known = find(instance);
    if (known == nullptr) {
        return std::nullopt;
    }
    // Whatever the group's failure domains are, an owner has the highest score of its own failure domain.
    if (isOutscored(stableHash(group.text()), *known)) {
        return std::nullopt;
    }
    const auto all = owners(group, domains);
    const auto own = std::find_if(all.begin(), all.end(), [&](const LiveInstance *owner) { return owner->name == instance; });
    if (own == all.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(own - all.begin());
}

std::vector<const LiveInstance *> InstanceSet::best(std::string_view purpose, const FailureDomain &domain, std::size_t count) const
{
    return best(purpose, std::vector<FailureDomain>{domain}, count);
}

std::vector<const LiveInstance *>
InstanceSet::best(std::string_view purpose, const std::vector<FailureDomain> &domains, std::size_t count) const
{
    const auto purposeHash = stableHash(purpose);
    std::vector<Choice> choices;
    for (const auto &domain : domains) {
        const auto found = byDomain_.find(domain);
        if (found == byDomain_.end()) {
            continue;
        }
        for (const auto &candidate : found->second) {
            choices.push_back({scoreOf(purposeHash, candidate.hash), candidate.index});
        }
    }
    const auto resultSize = std::min(count, choices.size());
    const auto end = choices.begin() + static_cast<std::ptrdiff_t>(resultSize);
    std::partial_sort(choices.begin(), end, choices.end(), [](const Choice &left, const Choice &right) {
        return left.score != right.score ? left.score > right.score : left.index < right.index;
    });
    std::vector<const LiveInstance *> chosen;
    chosen.reserve(resultSize);
    for (auto choice = choices.begin(); choice != end; ++choice) {
        chosen.push_back(&instances_[choice->index]);
    }
    return chosen;
}

std::size_t InstanceSet::outscoredBy(std::string_view purpose,
                                     const std::vector<FailureDomain> &domains,
                                     const InstanceName &instance,
                                     std::size_t limit) const
{
    const auto *known = find(instance);
    if (known == nullptr) {
        return limit;
    }
    const auto ownIndex = static_cast<std::size_t>(known - instances_.data());
    const auto purposeHash = stableHash(purpose);
    const auto own = scoreOf(purposeHash, stableHash(instance.text()));
    std::size_t higher = 0;
    for (const auto &domain : domains) {
        const auto found = byDomain_.find(domain);
        if (found == byDomain_.end()) {
            continue;
        }
        for (const auto &candidate : found->second) {
            const auto score = scoreOf(purposeHash, candidate.hash);
            if (score > own || (score == own && candidate.index < ownIndex)) {
                ++higher;
            }
            if (higher >= limit) {
                return limit;
            }
        }
    }
    return higher;
}

std::size_t InstanceSet::sizeOf(const FailureDomain &domain) const
{
    const auto found = byDomain_.find(domain);
    return found == byDomain_.end() ? 0 : found->second.size();
}

const LiveInstance *InstanceSet::find(const InstanceName &name) const
{
    const auto found =
        std::lower_bound(instances_.begin(), instances_.end(), name, [](const LiveInstance &left, const InstanceName &wanted) {
            return left.name < wanted;
        });
    return found != instances_.end() && found->name == name ? &*found : nullptr;
}

std::vector<FailureDomain> InstanceSet::domains() const
{
    std::vector<FailureDomain> domains;
    domains.reserve(byDomain_.size());
    for (const auto &[domain, candidates] : byDomain_) {
        domains.push_back(domain);
    }
    return domains;
}

} // namespace cardamomstep
