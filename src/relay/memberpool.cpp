// Bookkeeping of the links to one member.
#include "relay/memberpool.h"

#include <algorithm>

namespace cardamomstep::relay {

namespace {

/// Requests needed before \a link carries exactly \a values.
std::size_t preparation(const PooledConnection &connection, const std::map<std::string, std::string> &values)
{
    std::size_t differing = 0;
    for (const auto &[name, value] : values) {
        const auto held = connection.values.find(name);
        differing += held == connection.values.end() || held->second != value ? 1 : 0;
    }
    const bool surplus = std::any_of(
        connection.values.begin(), connection.values.end(), [&values](const auto &held) { return !values.contains(held.first); });
    return surplus ? values.size() + connection.prepared.size() + 1 : differing;
}

} // namespace

PooledConnection &MemberPool::add(MemberConnectionKey key, TimePoint now)
{
    PooledConnection connection;
    connection.key = key;
    connection.member = entry_.name;
    connection.group = entry_.group;
    connection.since = now;
    return connections_.emplace(key, std::move(connection)).first->second;
}

void MemberPool::remove(MemberConnectionKey key)
{
    connections_.erase(key);
}

PooledConnection *MemberPool::find(MemberConnectionKey key) noexcept
{
    const auto found = connections_.find(key);
    return found == connections_.end() ? nullptr : &found->second;
}

PooledConnection *MemberPool::bestIdle(const std::map<std::string, std::string> &values) noexcept
{
    PooledConnection *best = nullptr;
    std::size_t least = 0;
    for (auto &[key, connection] : connections_) {
        if (connection.state != PooledConnectionState::Idle) {
            continue;
        }
        const auto needed = preparation(connection, values);
        if (best == nullptr || needed < least) {
            best = &connection;
            least = needed;
        }
    }
    return best;
}

std::optional<Milliseconds> MemberPool::idleTimeout(TimePoint now) const noexcept
{
    if (connections_.size() > fairShare_) {
        const bool scarce = limitRefusedAt_ != TimePoint{} && now - limitRefusedAt_ < limits_.scarcityPeriod;
        return scarce ? Milliseconds{0} : limits_.surplusIdleTimeout;
    }
    return connections_.size() > 1 ? std::optional(limits_.spareIdleTimeout) : std::nullopt;
}

MemberConnectionKey MemberPool::surplusConnection(TimePoint now) const noexcept
{
    const auto timeout = idleTimeout(now);
    if (!timeout) {
        return 0;
    }
    for (const auto &[key, connection] : connections_) {
        if (connection.state == PooledConnectionState::Idle && now - connection.since >= *timeout) {
            return key;
        }
    }
    return 0;
}

std::uint32_t MemberPool::count(PooledConnectionState state) const noexcept
{
    return static_cast<std::uint32_t>(
        std::count_if(connections_.begin(), connections_.end(), [state](const auto &entry) { return entry.second.state == state; }));
}

void MemberPool::failed(TimePoint now) noexcept
{
    const auto doubled = limits_.initialPause * (1U << std::min(failures_, 5U));
    pausedUntil_ = now + std::min<Milliseconds>(doubled, limits_.maxPause);
    ++failures_;
}

void MemberPool::limitReached(TimePoint now) noexcept
{
    limitRefusedAt_ = now;
    openAllowedFrom_ = now + limits_.limitRefusalPause;
    surplusAllowedFrom_ = now + limits_.limitRefusalPause * 2;
}

} // namespace cardamomstep::relay
