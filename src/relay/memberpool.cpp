// Bookkeeping of the links to one member.
#include "relay/memberpool.h"

#include <algorithm>

namespace cardamomstep::relay {

namespace {

/// Requests needed before \a link carries exactly \a values.
std::size_t preparation(const Link &link, const std::map<std::string, std::string> &values)
{
    std::size_t differing = 0;
    for (const auto &[name, value] : values) {
        const auto held = link.values.find(name);
        differing += held == link.values.end() || held->second != value ? 1 : 0;
    }
    const bool surplus =
        std::any_of(link.values.begin(), link.values.end(), [&values](const auto &held) { return !values.contains(held.first); });
    return surplus ? values.size() + link.prepared.size() + 1 : differing;
}

} // namespace

Link &MemberPool::add(LinkKey key, TimePoint now)
{
    Link link;
    link.key = key;
    link.member = entry_.name;
    link.group = entry_.group;
    link.since = now;
    return links_.emplace(key, std::move(link)).first->second;
}

void MemberPool::remove(LinkKey key)
{
    links_.erase(key);
}

Link *MemberPool::find(LinkKey key) noexcept
{
    const auto found = links_.find(key);
    return found == links_.end() ? nullptr : &found->second;
}

Link *MemberPool::bestIdle(const std::map<std::string, std::string> &values) noexcept
{
    Link *best = nullptr;
    std::size_t least = 0;
    for (auto &[key, link] : links_) {
        if (link.phase != LinkPhase::Idle) {
            continue;
        }
        const auto needed = preparation(link, values);
        if (best == nullptr || needed < least) {
            best = &link;
            least = needed;
        }
    }
    return best;
}

std::optional<Milliseconds> MemberPool::idlePatience(TimePoint now) const noexcept
{
    if (links_.size() > fairShare_) {
        const bool scarce = limitSeen_ != TimePoint{} && now - limitSeen_ < limits_.scarceFor;
        return scarce ? Milliseconds{0} : limits_.surplusIdle;
    }
    return links_.size() > 1 ? std::optional(limits_.spareIdle) : std::nullopt;
}

LinkKey MemberPool::surplus(TimePoint now) const noexcept
{
    const auto patience = idlePatience(now);
    if (!patience) {
        return 0;
    }
    for (const auto &[key, link] : links_) {
        if (link.phase == LinkPhase::Idle && now - link.since >= *patience) {
            return key;
        }
    }
    return 0;
}

std::uint32_t MemberPool::count(LinkPhase phase) const noexcept
{
    return static_cast<std::uint32_t>(
        std::count_if(links_.begin(), links_.end(), [phase](const auto &entry) { return entry.second.phase == phase; }));
}

void MemberPool::failed(TimePoint now) noexcept
{
    const auto doubled = limits_.firstPause * (1U << std::min(failures_, 5U));
    pausedUntil_ = now + std::min<Milliseconds>(doubled, limits_.longestPause);
    ++failures_;
}

void MemberPool::limitReached(TimePoint now) noexcept
{
    limitSeen_ = now;
    openFrom_ = now + limits_.limitPause;
    surplusFrom_ = now + limits_.limitPause * 2;
}

} // namespace cardamomstep::relay
