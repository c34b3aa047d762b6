// Bookkeeping of the connections to one member.
#include "relay/memberpool.h"

#include <algorithm>

namespace cardamomstep::relay {

namespace {

/// Returns how many setup requests are needed before \a connection has exactly \a values.
std::size_t setupRequestCount(const PooledConnection &connection, const std::map<std::string, std::string> &values)
{
    std::size_t differing = 0;
    for (const auto &[name, value] : values) {
        const auto current = connection.values.find(name);
        differing += current == connection.values.end() || current->second != value ? 1 : 0;
    }
    const bool hasExtraValues = std::any_of(
        connection.values.begin(), connection.values.end(), [&values](const auto &current) { return !values.contains(current.first); });
    return hasExtraValues ? values.size() + connection.prepared.size() + 1 : differing;
}

} // namespace

PooledConnection &MemberPool::add(MemberConnectionKey key, TimePoint now, const CustomerName &customer)
{
    PooledConnection connection;
    connection.key = key;
    connection.member = entry_.name;
    connection.group = entry_.group;
    connection.customer = customer;
    connection.stateSince = now;
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

PooledConnection *MemberPool::bestIdle(const CustomerName &customer, const std::map<std::string, std::string> &values) noexcept
{
    PooledConnection *best = nullptr;
    std::size_t fewestRequests = 0;
    for (auto &[key, connection] : connections_) {
        if (connection.state != PooledConnectionState::Idle || connection.customer != customer) {
            continue;
        }
        const auto requests = setupRequestCount(connection, values);
        if (best == nullptr || requests < fewestRequests) {
            best = &connection;
            fewestRequests = requests;
        }
    }
    return best;
}

PooledConnection *MemberPool::anyIdle() noexcept
{
    for (auto &[key, connection] : connections_) {
        if (connection.state == PooledConnectionState::Idle) {
            return &connection;
        }
    }
    return nullptr;
}

bool MemberPool::hasIdle(const CustomerName &customer) const noexcept
{
    return std::any_of(connections_.begin(), connections_.end(), [&customer](const auto &entry) {
        return entry.second.state == PooledConnectionState::Idle && entry.second.customer == customer;
    });
}

MemberConnectionKey MemberPool::idleOfAnother(const CustomerName &customer, TimePoint now) const noexcept
{
    const auto minIdle = serves(customer) ? limits_.replacedAfterIdle : Milliseconds{0};
    const PooledConnection *longest = nullptr;
    for (const auto &[key, connection] : connections_) {
        const bool replaceable =
            connection.state == PooledConnectionState::Idle && connection.customer != customer && now - connection.stateSince >= minIdle;
        if (replaceable && (longest == nullptr || connection.stateSince < longest->stateSince)) {
            longest = &connection;
        }
    }
    return longest == nullptr ? 0 : longest->key;
}

std::optional<Milliseconds> MemberPool::idleTimeout(TimePoint now) const noexcept
{
    if (connections_.size() > fairShare_) {
        const bool connectionsScarce = limitRefusedAt_ != TimePoint{} && now - limitRefusedAt_ < limits_.scarcityPeriod;
        if (connectionsScarce) {
            return Milliseconds{0};
        }
        return keepsFairShare_ ? limits_.customerSurplusIdleTimeout : limits_.surplusIdleTimeout;
    }
    if (keepsFairShare_) {
        return std::nullopt;
    }
    return connections_.size() > 1 ? std::optional(limits_.spareIdleTimeout) : std::nullopt;
}

MemberConnectionKey MemberPool::surplusConnection(TimePoint now) const noexcept
{
    const auto timeout = idleTimeout(now);
    if (!timeout) {
        return 0;
    }
    const PooledConnection *surplus = nullptr;
    for (const auto &[key, connection] : connections_) {
        if (connection.state != PooledConnectionState::Idle || now - connection.stateSince < *timeout) {
            continue;
        }
        if (surplus == nullptr || (keepsFairShare_ && connection.stateSince < surplus->stateSince)) {
            surplus = &connection;
        }
    }
    return surplus == nullptr ? 0 : surplus->key;
}

std::uint32_t MemberPool::count(PooledConnectionState state) const noexcept
{
    return static_cast<std::uint32_t>(
        std::count_if(connections_.begin(), connections_.end(), [state](const auto &entry) { return entry.second.state == state; }));
}

std::uint32_t MemberPool::countOf(const CustomerName &customer, std::optional<PooledConnectionState> state) const noexcept
{
    return static_cast<std::uint32_t>(std::count_if(connections_.begin(), connections_.end(), [&customer, state](const auto &entry) {
        return (!state || entry.second.state == *state) && entry.second.customer == customer;
    }));
}

void MemberPool::onFailure(TimePoint now) noexcept
{
    const auto backoff = limits_.initialBackoff * (1U << std::min(failures_, 5U));
    backoffUntil_ = now + std::min<Milliseconds>(backoff, limits_.maxBackoff);
    ++failures_;
}

void MemberPool::onLimitRefused(TimePoint now) noexcept
{
    limitRefusedAt_ = now;
    openAllowedFrom_ = now + limits_.limitRefusalBackoff;
    surplusAllowedFrom_ = now + limits_.limitRefusalBackoff * 2;
}

} // namespace cardamomstep::relay
