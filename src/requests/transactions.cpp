// The registry of open transactions.
#include "requests/transactions.h"

#include <algorithm>
#include <utility>

namespace cardamomstep {

namespace {

constexpr std::string_view idPrefix = "t1.";
constexpr std::size_t nonceDigits = 16;
constexpr Milliseconds retryAfterOverloaded{100};

std::string nonceText(std::uint64_t nonce)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text(nonceDigits, '0');
    for (auto &digit : text) {
        digit = digits[nonce % digits.size()];
        nonce /= digits.size();
    }
    return text;
}

} // namespace

TransactionRegistry::TransactionRegistry(InstanceName owner, std::uint64_t seed, const TransactionLimits &limits)
    : owner_(std::move(owner))
    , random_(seed)
    , limits_(limits)
{
}

std::optional<InstanceName> TransactionRegistry::ownerOf(const TransactionId &id)
{
    const auto &text = id.text();
    const auto dot = text.rfind('.');
    const bool prefixed = text.compare(0, idPrefix.size(), idPrefix) == 0;
    if (!prefixed || dot <= idPrefix.size() || text.size() - dot - 1 != nonceDigits) {
        return std::nullopt;
    }
    return InstanceName{text.substr(idPrefix.size(), dot - idPrefix.size())};
}

Result<OpenTransaction> TransactionRegistry::open(OpenTransaction transaction, TimePoint now)
{
    if (!hasCapacity()) {
        return Error{ErrorKind::Overloaded, "this proxy has too many open transactions"}.withRetryAfter(retryAfterOverloaded);
    }
    if (byConnection_.count(transaction.connection) != 0) {
        return Error{ErrorKind::Internal, "the connection belongs to another transaction"};
    }
    do {
        transaction.id = TransactionId{std::string(idPrefix) + owner_.text() + "." + nonceText(random_())};
    } while (open_.count(transaction.id) != 0);
    byConnection_.emplace(transaction.connection, transaction.id);
    open_.emplace(transaction.id, Entry{transaction, now, now, false});
    return transaction;
}

bool TransactionRegistry::hasCapacity() const noexcept
{
    return open_.size() < limits_.maxOpen;
}

Result<OpenTransaction> TransactionRegistry::beginStatement(const TransactionId &id, TimePoint now)
{
    const auto found = open_.find(id);
    if (found == open_.end()) {
        const bool aborted = std::find(aborted_.begin(), aborted_.end(), id) != aborted_.end();
        return aborted ? Error{ErrorKind::TransactionAborted, "the transaction was rolled back"}
                       : Error{ErrorKind::TransactionUnknown, "the transaction is not open here"};
    }
    auto &entry = found->second;
    if (entry.running) {
        return Error{ErrorKind::Overloaded, "another statement of the transaction is running"}.withRetryAfter(retryAfterOverloaded);
    }
    if (now >= expiryOf(entry)) {
        return Error{ErrorKind::TransactionAborted, "the transaction reached its time limit"};
    }
    entry.running = true;
    entry.lastUsed = now;
    return entry.transaction;
}

void TransactionRegistry::endStatement(const TransactionId &id, TimePoint now)
{
    const auto found = open_.find(id);
    if (found != open_.end()) {
        found->second.running = false;
        found->second.lastUsed = now;
    }
}

void TransactionRegistry::close(const TransactionId &id)
{
    const auto found = open_.find(id);
    if (found != open_.end()) {
        byConnection_.erase(found->second.transaction.connection);
        open_.erase(found);
    }
}

std::optional<TransactionId> TransactionRegistry::connectionLost(ConnectionKey connection)
{
    const auto found = byConnection_.find(connection);
    if (found == byConnection_.end()) {
        return std::nullopt;
    }
    const auto id = found->second;
    rememberAborted(id);
    close(id);
    return id;
}

std::vector<CloseTransaction> TransactionRegistry::wake(TimePoint now)
{
    std::vector<CloseTransaction> expired;
    for (const auto &[id, entry] : open_) {
        if (!entry.running && now >= expiryOf(entry)) {
            expired.push_back(CloseTransaction{id, entry.transaction.connection});
        }
    }
    for (const auto &closed : expired) {
        rememberAborted(closed.id);
        close(closed.id);
    }
    return expired;
}

std::optional<CloseTransaction> TransactionRegistry::evictIdle(const GroupName &group, TimePoint now)
{
    const Entry *longestIdle = nullptr;
    for (const auto &[id, entry] : open_) {
        const bool idle = !entry.running && now - entry.lastUsed >= limits_.idleTimeoutUnderDemand;
        if (entry.transaction.group == group && idle && (longestIdle == nullptr || entry.lastUsed < longestIdle->lastUsed)) {
            longestIdle = &entry;
        }
    }
    if (longestIdle == nullptr) {
        return std::nullopt;
    }
    const CloseTransaction evicted{longestIdle->transaction.id, longestIdle->transaction.connection};
    rememberAborted(evicted.id);
    close(evicted.id);
    return evicted;
}

std::optional<TimePoint> TransactionRegistry::nextWake() const noexcept
{
    std::optional<TimePoint> first;
    for (const auto &[id, entry] : open_) {
        if (!entry.running) {
            first = first ? std::min(*first, expiryOf(entry)) : expiryOf(entry);
        }
    }
    return first;
}

TimePoint TransactionRegistry::expiryOf(const Entry &entry) const noexcept
{
    const TimePoint idleEnd = entry.lastUsed + limits_.idleTimeout;
    const TimePoint totalEnd = entry.startedAt + limits_.maxDuration;
    return std::min(idleEnd, totalEnd);
}

void TransactionRegistry::rememberAborted(const TransactionId &id)
{
    aborted_.push_back(id);
    if (aborted_.size() > limits_.maxRememberedAborts) {
        aborted_.pop_front();
    }
}

} // namespace cardamomstep
