// The members that registered themselves, and how long an entry outlives its removal.
#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "relay/fwd.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace cardamomstep::relay {

/// A member as it registered itself.
struct MemberEntry {
    MemberName name;
    GroupName group;
    Address address;
    FailureDomain failureDomain;
    /// Statements that it runs at once.
    std::uint32_t slots = 1;
    /// It is leaving: it gets no new work.
    bool draining = false;
    /// It sees itself as the primary.
    bool claimsPrimary = false;
    /// Start of its process; another value under the same name means another, empty member.
    std::int64_t startedAt = 0;

    [[nodiscard]] bool operator==(const MemberEntry &) const = default;
};

/// Settings of the directory.
struct DirectoryLimits {
    /// How long a removed entry is kept after the last sign of trouble at the store: entries lapse during an outage although
    /// their members live, and are back about two seconds after it.
    Milliseconds expiryGrace{2500};
};

/// The known members of all groups.
///
/// An entry that vanished is kept while the store is not trusted: during an outage and for `lapseGrace` after it.
class MemberDirectory
{
public:
    explicit MemberDirectory(const DirectoryLimits &limits = {})
        : limits_(limits)
    {
    }

    /// Takes in the store's whole list.
    void replaceAll(const std::vector<MemberEntry> &entries, TimePoint now);

    /// Takes in one changed entry.
    void put(const MemberEntry &entry);

    /// Takes in that \a name is no longer registered.
    void remove(const MemberName &name, TimePoint now);

    /// Takes in that the store did not answer; removals are not trusted for a while.
    void storeFailed(TimePoint now) noexcept;

    /// Drops entries whose removal is trusted by now; true when any was dropped.
    bool expire(TimePoint now);

    /// When expire() has something to do.
    [[nodiscard]] std::optional<TimePoint> nextExpiry() const noexcept;

    [[nodiscard]] const MemberEntry *find(const MemberName &name) const;

    /// The members of \a group, by name.
    [[nodiscard]] std::vector<MemberEntry> membersOf(const GroupName &group) const;

    [[nodiscard]] const std::map<MemberName, MemberEntry> &all() const noexcept
    {
        return entries_;
    }

private:
    DirectoryLimits limits_;
    std::map<MemberName, MemberEntry> entries_;
    /// Entries that vanished, and when.
    std::map<MemberName, TimePoint> removals_;
    /// Removals before this time are not trusted yet.
    TimePoint trustedFrom_;
};

} // namespace cardamomstep::relay
