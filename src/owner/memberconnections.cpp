// The statement connections of this proxy to one member.
#include "owner/memberconnections.h"

#include <algorithm>
#include <variant>

namespace cardamomstep {

namespace {

constexpr Milliseconds openTimeout{250};

} // namespace

MemberLinks::MemberLinks(const Address &remote, const LinkIdentity &identity)
    : remote_(remote)
    , identity_(identity)
{
}

void MemberLinks::setAllowed(std::uint32_t allowed, TimePoint now)
{
    for (const auto key : pool_.setAllowed(allowed, now)) {
        links_.erase(key);
    }
    waiting_.signalAll();
}

Result<MemberLinks::Lease> MemberLinks::take(std::unique_lock<std::mutex> &lock, TimePoint deadline)
{
    Waiter waiter;
    for (;;) {
        const auto step = pool_.take(deadline, steadyNow());
        if (const auto *reuse = std::get_if<ReuseConnection>(&step)) {
            const auto link = links_.at(reuse->key);
            if (link->checkOpen()) {
                return Lease{reuse->key, link};
            }
            close(reuse->key);
            continue;
        }
        if (const auto *open = std::get_if<OpenConnection>(&step)) {
            return openNew(lock, open->key, deadline);
        }
        if (const auto *none = std::get_if<NoConnection>(&step)) {
            return none->error;
        }
        const WaitList::Entry entry(waiting_, waiter);
        waiter.wait(lock, std::get<AwaitConnection>(step).until);
    }
}

Result<MemberLinks::Lease> MemberLinks::openNew(std::unique_lock<std::mutex> &lock, ConnectionKey key, TimePoint deadline)
{
    auto link = std::make_shared<HttpStatementLink>(remote_, identity_);
    const auto timeout = std::min(openTimeout, wholeMilliseconds(deadline - steadyNow()));
    lock.unlock();
    const auto result = link->open(timeout);
    lock.lock();
    if (const auto *failure = std::get_if<LinkFailure>(&result)) {
        pool_.openFailed(key, failure->fault, steadyNow());
        waiting_.signalAll();
        return Error{ErrorKind::EndpointUnreachable, failure->description};
    }
    pool_.opened(key, steadyNow());
    links_[key] = link;
    return Lease{key, link};
}

void MemberLinks::giveBack(const Lease &lease, TimePoint now)
{
    if (!lease.link->isOpen()) {
        close(lease.key);
        return;
    }
    if (!pool_.giveBack(lease.key, now)) {
        links_.erase(lease.key);
    }
    waiting_.signalAll();
}

void MemberLinks::close(ConnectionKey key)
{
    pool_.closed(key);
    silence_.closed(key);
    links_.erase(key);
    waiting_.signalAll();
}

void MemberLinks::wake(TimePoint now)
{
    for (const auto key : pool_.wake(now)) {
        silence_.closed(key);
        links_.erase(key);
    }
}

Milliseconds MemberLinks::answerTimeout() const noexcept
{
    return std::max(Milliseconds{1}, wholeMilliseconds(silence_.overdueAfter()));
}

void MemberLinks::began(ConnectionKey key, TimePoint now)
{
    silence_.began(key, now);
}

void MemberLinks::answered(ConnectionKey key, TimePoint now)
{
    // The blocking exchange has its own timeout, so the detector only measures here.
    (void)silence_.answered(key, now);
}

std::uint32_t MemberLinks::inUse() const noexcept
{
    return pool_.open() - pool_.idle();
}

} // namespace cardamomstep
