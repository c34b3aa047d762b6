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

/// The proxies that may own groups at one moment.
///
/// Immutable once made, so it can be shared between threads. Two proxies with equal sets name the same owners in the same order;
/// where the sets differ, only the groups of the differing instances have other owners.
class InstanceSet
{
public:
    InstanceSet() = default;
    explicit InstanceSet(std::vector<LiveInstance> instances);

    /// The owners of \a group: one in each of \a domains that has an instance, best rank first.
    ///
    /// The order is the same on all proxies and differs from group to group. Without an instance in any of \a domains,
    /// the one best instance of all is the only owner; the result is empty only when the set is.
    /// The pointers live as long as this set.
    [[nodiscard]] std::vector<const LiveInstance *> owners(const GroupName &group, const std::vector<FailureDomain> &domains) const;

    /// The owner for callers in \a home: the one in that failure domain, else the best ranked; null when there is none.
    [[nodiscard]] const LiveInstance *
    ownerNear(const GroupName &group, const std::vector<FailureDomain> &domains, const FailureDomain &home) const;

    /// Place of \a instance among the owners, from 0; nothing when it is no owner.
    ///
    /// For most instances and groups the answer is no after a few comparisons, so a proxy can ask for all groups.
    [[nodiscard]] std::optional<std::size_t>
    rank(const GroupName &group, const std::vector<FailureDomain> &domains, const InstanceName &instance) const;

    /// The \a count instances of \a domain that \a purpose falls to, best first.
    [[nodiscard]] std::vector<const LiveInstance *> best(std::string_view purpose, const FailureDomain &domain, std::size_t count) const;

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
    [[nodiscard]] bool isBeaten(std::uint64_t groupHash, const LiveInstance &instance) const;
    [[nodiscard]] std::optional<Choice> choose(std::uint64_t groupHash, const std::vector<Candidate> &candidates) const;

    /// Invariant: sorted by name, names are unique.
    std::vector<LiveInstance> instances_;
    /// Invariant: each instance stands in the list of its failure domain once.
    std::map<FailureDomain, std::vector<Candidate>> byDomain_;
};

} // namespace cardamomstep
