// The calling side of the link between proxies, over gRPC.
#include "peer/client.h"

#include "peer/generated/peer.grpc.pb.h"
#include "peer/impl/channels.h"
#include "peer/impl/peercodec.h"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <chrono>

namespace cardamomstep::peer {

namespace {

std::chrono::system_clock::time_point deadlineAfter(Microseconds span)
{
    return std::chrono::system_clock::now() + std::max(span, Microseconds{0});
}

Failure toFailure(const grpc::Status &status)
{
    return {false, status.error_message()};
}

} // namespace

struct Client::Impl {
    explicit Impl(const Credentials &credentials)
        : channels(credentials)
    {
    }

    /// Makes one call by \a call(stub, context); connects first, so that a failure to connect is known as not sent.
    template<typename T, typename Call>
    PeerResult<T> run(const Address &peer, Microseconds timeout, Microseconds connectWithin, Call call)
    {
        const auto channel = channels.to(peer);
        if (!channel->WaitForConnected(deadlineAfter(std::min(timeout, connectWithin)))) {
            return Failure{true, "cannot connect to " + peer.text()};
        }
        const auto stub = impl::wire::Peer::NewStub(channel);
        grpc::ClientContext context;
        context.set_deadline(deadlineAfter(timeout));
        return call(*stub, context);
    }

    impl::Channels channels;
};

Client::Client(const Credentials &credentials)
    : impl_(std::make_unique<Impl>(credentials))
{
}

Client::~Client() = default;

PeerResult<Answer> Client::execute(const Address &peer, const Statement &statement, Microseconds remaining, Milliseconds connectWithin)
{
    const auto request = impl::encode(statement, remaining);
    return impl_->run<Answer>(peer, remaining, connectWithin, [&request](auto &stub, auto &context) -> PeerResult<Answer> {
        impl::wire::StatementReply reply;
        const auto status = stub.Execute(&context, request, &reply);
        if (!status.ok()) {
            return toFailure(status);
        }
        return impl::decode(reply);
    });
}

PeerResult<Pong> Client::ping(const Address &peer, const Ping &ping, Milliseconds timeout)
{
    const auto request = impl::encode(ping);
    return impl_->run<Pong>(peer, timeout, timeout, [&request](auto &stub, auto &context) -> PeerResult<Pong> {
        impl::wire::PingReply reply;
        const auto status = stub.Ping(&context, request, &reply);
        if (!status.ok()) {
            return toFailure(status);
        }
        return impl::decode(reply);
    });
}

PeerResult<Digest> Client::push(const Address &peer, const Objects &objects, Milliseconds timeout)
{
    const auto request = impl::encode(objects);
    return impl_->run<Digest>(peer, timeout, timeout, [&request](auto &stub, auto &context) -> PeerResult<Digest> {
        impl::wire::DigestMessage reply;
        const auto status = stub.Push(&context, request, &reply);
        if (!status.ok()) {
            return toFailure(status);
        }
        return impl::decode(reply);
    });
}

PeerResult<Objects> Client::fetch(const Address &peer, const Digest &digest, Milliseconds timeout)
{
    const auto request = impl::encode(digest);
    return impl_->run<Objects>(peer, timeout, timeout, [&request](auto &stub, auto &context) -> PeerResult<Objects> {
        impl::wire::ObjectsMessage reply;
        const auto status = stub.Fetch(&context, request, &reply);
        if (!status.ok()) {
            return toFailure(status);
        }
        return impl::decode(reply);
    });
}

PeerResult<Sighting> Client::sight(const Address &peer, const Sighting &sighting, Milliseconds timeout)
{
    const auto request = impl::encode(sighting);
    return impl_->run<Sighting>(peer, timeout, timeout, [&request](auto &stub, auto &context) -> PeerResult<Sighting> {
        impl::wire::SightingMessage reply;
        const auto status = stub.Sight(&context, request, &reply);
        if (!status.ok()) {
            return toFailure(status);
        }
        return impl::decode(reply);
    });
}

void Client::forget(const Address &peer)
{
    impl_->channels.forget(peer);
}

} // namespace cardamomstep::peer
