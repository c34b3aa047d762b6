// Keeps members whose entries expired while the store was unavailable.
#include "relay/directory.h"

#include <algorithm>
#include <set>

namespace cardamomstep::relay {

void MemberDirectory::replaceAll(const std::vector<MemberEntry> &entries, TimePoint changedFrom, TimePoint now)
{
    std::set<MemberName> listed;
    for (const auto &entry : entries) {
        listed.insert(entry.name);
        put(entry, changedFrom, now);
    }
    std::vector<MemberName> missing;
    for (const auto &[name, entry] : entries_) {
        if (!listed.contains(name)) {
            missing.push_back(name);
        }
    }
    for (const auto &name : missing) {
        remove(name, now);
    }
}

void MemberDirectory::put(const MemberEntry &entry, TimePoint changedFrom, TimePoint now)
{
    auto &current = entries_[entry.name];
    const bool restarted = current.startedAt != entry.startedAt;
    if (!entry.draining || restarted) {
        drainingSince_.erase(entry.name);
    }
    if (entry.draining) {
        drainingSince_.try_emplace(entry.name, std::max<TimePoint>(changedFrom, now - limits_.memberDrain / 2));
    }
    current = entry;
    removals_.erase(entry.name);
}

void MemberDirectory::remove(const MemberName &name, TimePoint now)
{
    if (!entries_.contains(name)) {
        return;
    }
    if (now >= removalsTrustedFrom_) {
        drop(name);
        return;
    }
    removals_.try_emplace(name, now);
}

void MemberDirectory::drop(const MemberName &name)
{
    entries_.erase(name);
    drainingSince_.erase(name);
    removals_.erase(name);
}

void MemberDirectory::storeFailed(TimePoint now) noexcept
{
    removalsTrustedFrom_ = std::max(removalsTrustedFrom_, now + limits_.expiryGrace);
}

bool MemberDirectory::expire(TimePoint now)
{
    if (now < removalsTrustedFrom_ || removals_.empty()) {
        return false;
    }
    for (const auto &[name, removedAt] : removals_) {
        entries_.erase(name);
        drainingSince_.erase(name);
    }
    removals_.clear();
    return true;
}

std::optional<TimePoint> MemberDirectory::nextExpiry() const noexcept
{
    return removals_.empty() ? std::nullopt : std::optional<TimePoint>(removalsTrustedFrom_);
}

const MemberEntry *MemberDirectory::find(const MemberName &name) const
{
    const auto found = entries_.find(name);
    return found == entries_.end() ? nullptr : &found->second;
}

std::optional<TimePoint> MemberDirectory::drainingSince(const MemberName &name) const
{
    const auto found = drainingSince_.find(name);
    return found == drainingSince_.end() ? std::nullopt : std::optional<TimePoint>(found->second);
}

std::vector<MemberEntry> MemberDirectory::membersOf(const GroupName &group) const
{
    std::vector<MemberEntry> members;
    for (const auto &[name, entry] : entries_) {
        if (entry.group == group) {
            members.push_back(entry);
        }
    }
    return members;
}

} // namespace cardamomstep::relay
