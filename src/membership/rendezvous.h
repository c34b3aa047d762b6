// Owners of a database group by rendezvous hashing: one for each failure domain of the group's members.
#pragma once

#include "base/ids.h"
#include "membership/fwd.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace cardamomstep {

/// A proxy that may own groups.
struct LiveInstance {
    InstanceName name;
    FailureDomain domain;
    Address address;

    [[nodiscard]] auto operator<=>(const LiveInstance &) const = default;
    [[nodiscard]] bool operator==(const LiveInstance &) const = default;
};

/// The proxies that may own groups at one time.
///
/// Immutable after construction, so it can be shared between threads. Two proxies with equal sets compute the same owners in the
/// same order; if the sets differ, only groups of the instances that differ have different owners.
class InstanceSet
{
public:
    InstanceSet() = default;
    explicit InstanceSet(std::vector<LiveInstance> instances);

    /// Returns the owners of \a group: one in each of \a domains that has an instance, best rank first.
    ///
    /// The order is the same on all proxies and differs from group to group. Without an instance in any of \a domains,
    /// the best instance of the whole set is the only owner. The result is empty only when the set is.
    /// The pointers are valid as long as this set.
    [[nodiscard]] std::vector<const LiveInstance *> owners(const GroupName &group, const std::vector<FailureDomain> &domains) const;

    /// Returns the owner for callers in \a callerDomain: the one in that failure domain, else the best ranked; null when there is none.
    [[nodiscard]] const LiveInstance *
    ownerNear(const GroupName &group, const std::vector<FailureDomain> &domains, const FailureDomain &callerDomain) const;

    /// Returns the index of \a instance among the owners, from 0; none when it is not an owner.
    ///
    /// Most instances that are not owners are rejected after a few comparisons, so a proxy can call this for all groups.
    [[nodiscard]] std::optional<std::size_t>
    rank(const GroupName &group, const std::vector<FailureDomain> &domains, const InstanceName &instance) const;

    /// Returns the up to \a count instances of \a domain with the highest scores for \a purpose, best first.
    ///
    /// \a purpose is hashed like a group's name, so that different purposes choose different instances.
    [[nodiscard]] std::vector<const LiveInstance *> best(std::string_view purpose, const FailureDomain &domain, std::size_t count) const;

    /// As above, over all instances of \a domains.
    [[nodiscard]] std::vector<const LiveInstance *>
    best(std::string_view purpose, const std::vector<FailureDomain> &domains, std::size_t count) const;

    /// Returns how many instances of \a domains have a higher score for \a purpose than \a instance, at most \a limit.
    ///
    /// Takes about `limit` times the logarithm of the number of instances on average, so a proxy can call this for all customers. The
    /// result is \a limit if \a instance is not in the set.
    [[nodiscard]] std::size_t
    outscoredBy(std::string_view purpose, const std::vector<FailureDomain> &domains, const InstanceName &instance, std::size_t limit) const;

    /// Returns the number of instances in \a domain.
    [[nodiscard]] std::size_t sizeOf(const FailureDomain &domain) const;

    /// Returns the instance named \a name; null if there is none.
    [[nodiscard]] const LiveInstance *find(const InstanceName &name) const;

    /// All instances, sorted by name.
    [[nodiscard]] const std::vector<LiveInstance> &instances() const noexcept
    {
        return instances_;
    }

    /// The failure domains that have an instance, sorted.
    [[nodiscard]] std::vector<FailureDomain> domains() const;

private:
    struct Candidate {
        std::uint64_t hash;
        std::size_t index;
    };
    struct Choice {
        std::uint64_t score;
        std::size_t index;
    };
    /// True when another instance of the same failure domain has a higher score for the group.
    [[nodiscard]] bool isOutscored(std::uint64_t groupHash, const LiveInstance &instance) const;
    [[nodiscard]] std::optional<Choice> choose(std::uint64_t groupHash, const std::vector<Candidate> &candidates) const;

    /// Invariant: sorted by name, names are unique.
    std::vector<LiveInstance> instances_;
    /// Invariant: each instance is in the list of its failure domain once.
    std::map<FailureDomain, std::vector<Candidate>> byDomain_;
};

} // namespace cardamomstep
