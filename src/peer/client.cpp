// Client for calls between proxies, over gRPC.
#include "peer/client.h"

#include "peer/generated/peer.grpc.pb.h"
#include "peer/impl/channels.h"
#include "peer/impl/peercodec.h"
#include "peer/impl/refusal.h"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <chrono>

namespace cardamomstep::peer {

namespace {

/// Time for the connection that shows why there is none.
constexpr Milliseconds refusalTimeout{200};

std::chrono::system_clock::time_point deadlineAfter(Microseconds span)
{
    return std::chrono::system_clock::now() + std::max(span, Microseconds{0});
}

Failure toFailure(const grpc::Status &status)
{
    return {false, false, status.error_message()};
}

} // namespace

struct Client::Impl {
    explicit Impl(const Credentials &credentials)
        : channels(credentials)
    {
    }

    /// Runs \a call(stub, context) once; waits for a connection first, so that a failure to connect is reported as not sent.
    template<typename T, typename Call>
    PeerResult<T> run(const Address &peer, Microseconds timeout, Microseconds connectTimeout, Call call)
    {
        const auto channel = channels.channelTo(peer);
        if (!channel->WaitForConnected(deadlineAfter(std::min(timeout, connectTimeout)))) {
            return Failure{true, false, "cannot connect to " + peer.text()};
        }
        const auto stub = impl::wire::Peer::NewStub(channel);
        grpc::ClientContext context;
        context.set_deadline(deadlineAfter(timeout));
        return call(*stub, context);
    }

    /// Returns true if the address of a peer whose channel has failed refuses connections: the channel's state does not tell a refused
    /// connection from one that was reset or whose handshake failed.
    bool isRefused(const Address &peer)
    {
        const bool failed = channels.channelTo(peer)->GetState(false) == GRPC_CHANNEL_TRANSIENT_FAILURE;
        return failed && impl::refusesConnections(peer, refusalTimeout);
    }

    impl::Channels channels;
};

Client::Client(const Credentials &credentials)
    : impl_(std::make_unique<Impl>(credentials))
{
}

Client::~Client() = default;

PeerResult<Answer> Client::execute(const Address &peer, const Statement &statement, Microseconds remaining, Milliseconds connectTimeout)
{
    const auto request = impl::encode(statement, remaining);
    return impl_->run<Answer>(peer, remaining, connectTimeout, [&request](auto &stub, auto &context) -> PeerResult<Answer> {
        impl::wire::StatementReply reply;
        const auto status = stub.Execute(&context, request, &reply);
        if (!status.ok()) {
            return toFailure(status);
        }
        return impl::decode(reply);
    });
}

PeerResult<Ping> Client::ping(const Address &peer, const Ping &ping, Milliseconds timeout)
{
    const auto request = impl::encode(ping);
    auto result = impl_->run<Ping>(peer, timeout, timeout, [&request](auto &stub, auto &context) -> PeerResult<Ping> {
        impl::wire::PingMessage reply;
        const auto status = stub.Ping(&context, request, &reply);
        if (!status.ok()) {
            return toFailure(status);
        }
        return impl::decode(reply);
    });
    if (auto *failure = std::get_if<Failure>(&result); failure != nullptr && failure->notSent) {
        failure->refused = impl_->isRefused(peer);
    }
    return result;
}

PeerResult<std::vector<SharedUpdate>> Client::snapshot(const Address &peer, Milliseconds timeout)
{
    return impl_->run<std::vector<SharedUpdate>>(
        peer, timeout, timeout, [](auto &stub, auto &context) -> PeerResult<std::vector<SharedUpdate>> {
            impl::wire::SnapshotReply reply;
            const auto status = stub.Snapshot(&context, impl::wire::SnapshotRequest{}, &reply);
            if (!status.ok()) {
                return toFailure(status);
            }
            return impl::decode(reply);
        });
}

PeerResult<GossipMessage> Client::gossip(const Address &peer, const GossipMessage &message, Milliseconds timeout)
{
    const auto request = impl::encode(message);
    return impl_->run<GossipMessage>(peer, timeout, timeout, [&request](auto &stub, auto &context) -> PeerResult<GossipMessage> {
        impl::wire::SpreadMessage reply;
        const auto status = stub.Spread(&context, request, &reply);
        if (!status.ok()) {
            return toFailure(status);
        }
        return impl::decode(reply);
    });
}

PeerResult<GroupObservation> Client::exchangeObservations(const Address &peer, const GroupObservation &observation, Milliseconds timeout)
{
    const auto request = impl::encode(observation);
    return impl_->run<GroupObservation>(peer, timeout, timeout, [&request](auto &stub, auto &context) -> PeerResult<GroupObservation> {
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
