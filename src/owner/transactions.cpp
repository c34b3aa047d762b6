// The open transactions of one proxy and the connections pinned to them.
#include "owner/transactions.h"

#include <algorithm>
#include <utility>

namespace cardamomstep {

Transactions::Transactions(InstanceName owner, std::uint64_t seed)
    : registry_(std::move(owner), seed)
{
}

Result<TransactionId> Transactions::open(OpenTransaction transaction, const MemberConnections::CheckedOutConnection &checkout)
{
    const std::lock_guard lock(mutex_);
    transaction.connection = nextPinKey_++;
    const auto opened = registry_.open(std::move(transaction), steadyNow());
    if (!opened) {
        return opened.error();
    }
    pinned_[opened->id] = {*opened, checkout};
    return opened->id;
}

Result<Transactions::Use> Transactions::begin(const TransactionId &id)
{
    const std::lock_guard lock(mutex_);
    const auto begun = registry_.beginStatement(id, steadyNow());
    if (!begun) {
        return begun.error();
    }
    return Use{*begun, pinned_.at(id).checkout};
}

void Transactions::end(const TransactionId &id)
{
    const std::lock_guard lock(mutex_);
    registry_.endStatement(id, steadyNow());
}

void Transactions::close(const TransactionId &id)
{
    const std::lock_guard lock(mutex_);
    registry_.close(id);
    pinned_.erase(id);
}

void Transactions::onConnectionLost(const Use &use)
{
    const std::lock_guard lock(mutex_);
    (void)registry_.connectionLost(use.transaction.connection);
    pinned_.erase(use.transaction.id);
}

std::vector<Transactions::Use> Transactions::expire()
{
    const std::lock_guard lock(mutex_);
    std::vector<Use> expired;
    for (const auto &closing : registry_.wake(steadyNow())) {
        if (const auto use = unpin(closing)) {
            expired.push_back(*use);
        }
    }
    return expired;
}

std::optional<Transactions::Use> Transactions::evictIdle(const GroupName &group)
{
    const std::lock_guard lock(mutex_);
    const auto evicted = registry_.evictIdle(group, steadyNow());
    return evicted ? unpin(*evicted) : std::nullopt;
}

std::optional<Transactions::Use> Transactions::unpin(const CloseTransaction &closing)
{
    const auto found = pinned_.find(closing.id);
    if (found == pinned_.end()) {
        return std::nullopt;
    }
    const Use use{found->second.transaction, found->second.checkout};
    pinned_.erase(found);
    return use;
}

std::optional<GroupName> Transactions::groupOf(const TransactionId &id)
{
    const std::lock_guard lock(mutex_);
    const auto found = pinned_.find(id);
    return found == pinned_.end() ? std::nullopt : std::optional<GroupName>(found->second.transaction.group);
}

std::size_t Transactions::countOf(const GroupName &group) const
{
    const std::lock_guard lock(mutex_);
    const auto isOfGroup = [&group](const auto &item) {
        return item.second.transaction.group == group;
    };
    return static_cast<std::size_t>(std::count_if(pinned_.begin(), pinned_.end(), isOfGroup));
}

std::size_t Transactions::size()
{
    const std::lock_guard lock(mutex_);
    return pinned_.size();
}

} // namespace cardamomstep
