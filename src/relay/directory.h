// The registered members, and how long an entry is kept after its removal from the store.
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
    /// The number of statements that it runs concurrently.
    std::uint32_t slots = 1;
    /// The member is being drained: it gets no new work.
    bool draining = false;
    /// The member reports that it is the primary.
    bool claimsPrimary = false;
    /// Start time of its process; a different value under the same name means a new member with an empty log.
    std::int64_t startedAt = 0;

    [[nodiscard]] bool operator==(const MemberEntry &) const = default;
};

/// Settings of the directory.
struct DirectoryLimits {
    /// How long a removed entry is kept after the store last failed to reply: during an outage the entries of live members
    /// expire, and the members register again about two seconds after it.
    Milliseconds expiryGrace{2500};
    /// How long a member serves after it announced that it drains.
    Milliseconds memberDrain{7000};
};

/// The known members of all groups.
///
/// A removed entry is kept during an outage of the store and for `expiryGrace` after it, since removals in that time are not trusted.
///
/// Changes are applied with the earliest time at which they may have been made: a process that starts, or whose watch was interrupted,
/// finds members that have been draining for an unknown time. Such a member counts as draining since the earliest possible time, but not
/// for longer than half of `memberDrain`.
class MemberDirectory
{
public:
    explicit MemberDirectory(const DirectoryLimits &limits = {})
        : limits_(limits)
    {
    }

    /// Applies the store's complete list, whose changes were made at \a changedFrom or later.
    void replaceAll(const std::vector<MemberEntry> &entries, TimePoint changedFrom, TimePoint now);

    /// Applies one added or changed entry, which was changed at \a changedFrom or later.
    void put(const MemberEntry &entry, TimePoint changedFrom, TimePoint now);

    /// Handles the removal of \a name from the store.
    void remove(const MemberName &name, TimePoint now);

    /// Drops \a name at once: its entry is there and names no member.
    void drop(const MemberName &name);

    /// Records that the store did not reply; removals are not trusted for `expiryGrace` after \a now.
    void storeFailed(TimePoint now) noexcept;

    /// Drops the entries whose removal is trusted at \a now; returns true if any was dropped.
    bool expire(TimePoint now);

    /// Returns when expire() is due next; nothing if no removal is pending.
    [[nodiscard]] std::optional<TimePoint> nextExpiry() const noexcept;

    [[nodiscard]] const MemberEntry *find(const MemberName &name) const;

    /// Returns since when the member counts as draining; nothing while it is not draining or not known.
    [[nodiscard]] std::optional<TimePoint> drainingSince(const MemberName &name) const;

    /// Returns the members of \a group, ordered by name.
    [[nodiscard]] std::vector<MemberEntry> membersOf(const GroupName &group) const;

    [[nodiscard]] const std::map<MemberName, MemberEntry> &all() const noexcept
    {
        return entries_;
    }

private:
    DirectoryLimits limits_;
    std::map<MemberName, MemberEntry> entries_;
    /// Invariant: contains exactly the members of entries_ that are draining.
    std::map<MemberName, TimePoint> drainingSince_;
    /// Entries that were removed from the store but are still kept, and when they were removed.
    std::map<MemberName, TimePoint> removals_;
    /// Removals are not trusted before this time.
    TimePoint removalsTrustedFrom_;
};

} // namespace cardamomstep::relay
