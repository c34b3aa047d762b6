// The statement connections of this proxy to one member.
#include "owner/memberconnections.h"

#include <algorithm>
#include <variant>

namespace cardamomstep {

namespace {

/// Timeout of opening a connection to a member.
constexpr Milliseconds openTimeout{250};

} // namespace

MemberConnections::MemberConnections(const Address &remote, const ConnectionIdentity &identity)
    : remote_(remote)
    , identity_(identity)
{
}

void MemberConnections::setAllowed(std::uint32_t allowed, TimePoint now)
{
    for (const auto key : pool_.setAllowed(allowed, now)) {
        connections_.erase(key);
    }
    waiting_.signalAll();
}

Result<MemberConnections::CheckedOutConnection> MemberConnections::acquire(std::unique_lock<std::mutex> &lock, TimePoint deadline)
{
    Waiter waiter;
    for (;;) {
        const auto step = pool_.acquire(deadline, steadyNow());
        if (const auto *reuse = std::get_if<ReuseConnection>(&step)) {
            const auto connection = connections_.at(reuse->key);
            if (connection->checkOpen()) {
                return CheckedOutConnection{reuse->key, connection};
            }
            close(reuse->key);
            continue;
        }
        if (const auto *open = std::get_if<OpenConnection>(&step)) {
            return openNew(lock, open->key, deadline);
        }
        if (const auto *unavailable = std::get_if<NoConnection>(&step)) {
            return unavailable->error;
        }
        const WaitList::Entry entry(waiting_, waiter);
        waiter.wait(lock, std::get<AwaitConnection>(step).until);
    }
}

Result<MemberConnections::CheckedOutConnection>
MemberConnections::openNew(std::unique_lock<std::mutex> &lock, ConnectionKey key, TimePoint deadline)
{
    auto connection = std::make_shared<HttpStatementConnection>(remote_, identity_);
    const auto timeout = std::min(openTimeout, wholeMilliseconds(deadline - steadyNow()));
    lock.unlock();
    const auto result = connection->open(timeout);
    lock.lock();
    if (const auto *failure = std::get_if<ConnectionFailure>(&result)) {
        pool_.openFailed(key, failure->fault, steadyNow());
        waiting_.signalAll();
        return Error{ErrorKind::EndpointUnreachable, failure->description};
    }
    pool_.opened(key, steadyNow());
    connections_[key] = connection;
    return CheckedOutConnection{key, connection};
}

void MemberConnections::release(const CheckedOutConnection &checkout, TimePoint now)
{
    if (!checkout.connection->isOpen()) {
        close(checkout.key);
        return;
    }
    if (!pool_.release(checkout.key, now)) {
        connections_.erase(checkout.key);
    }
    waiting_.signalAll();
}

void MemberConnections::close(ConnectionKey key)
{
    pool_.closed(key);
    silence_.closed(key);
    connections_.erase(key);
    waiting_.signalAll();
}

void MemberConnections::closeIdle(TimePoint now)
{
    for (const auto key : pool_.wake(now)) {
        silence_.closed(key);
        connections_.erase(key);
    }
}

Milliseconds MemberConnections::replyTimeout() const noexcept
{
    return std::max(Milliseconds{1}, wholeMilliseconds(silence_.overdueAfter()));
}

void MemberConnections::onExchangeStarted(ConnectionKey key, TimePoint now)
{
    silence_.exchangeStarted(key, now);
}

void MemberConnections::onReply(ConnectionKey key, TimePoint now)
{
    // The blocking exchange has its own timeout, so the detector only measures here.
    (void)silence_.replied(key, now);
}

std::uint32_t MemberConnections::inUse() const noexcept
{
    return pool_.open() - pool_.idle();
}

} // namespace cardamomstep
