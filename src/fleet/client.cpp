// FleetClient with gRPC's callback API; calls to one proxy share a channel.
#include "fleet/client.h"

#include "fleet/generated/fleet.grpc.pb.h"
#include "fleet/impl/fleetcodec.h"
#include "peer/impl/channels.h"

#include <grpcpp/grpcpp.h>

namespace cardamomstep::fleet {

namespace {

/// State of one call, kept alive until its result is reported.
template<typename Request, typename Reply>
struct Call {
    grpc::ClientContext context;
    Request request;
    Reply reply;
};

Error unreachable(const grpc::Status &status)
{
    return {ErrorKind::PeerUnreachable, status.error_message()};
}

} // namespace

struct FleetClient::Impl {
    peer::impl::Channels channels{peer::Credentials{}};
};

FleetClient::FleetClient()
    : impl_(std::make_unique<Impl>())
{
}

FleetClient::~FleetClient() = default;

void FleetClient::renew(const Address &proxy,
                        const RenewRequest &request,
                        Milliseconds timeout,
                        std::function<void(Result<RenewReply>)> done)
{
    const auto call = std::make_shared<Call<impl::wire::RenewRequest, impl::wire::RenewReply>>();
    call->request = impl::encode(request);
    call->context.set_deadline(std::chrono::system_clock::now() + timeout);
    const std::shared_ptr<impl::wire::Fleet::Stub> stub = impl::wire::Fleet::NewStub(impl_->channels.channelTo(proxy));
    stub->async()->Renew(&call->context, &call->request, &call->reply, [call, stub, done = std::move(done)](const grpc::Status &status) {
        done(status.ok() ? Result<RenewReply>(impl::decode(call->reply)) : Result<RenewReply>(unreachable(status)));
    });
}

void FleetClient::announce(const Address &proxy,
                           const Announcement &announcement,
                           Milliseconds timeout,
                           std::function<void(Result<QuiesceReply>)> done)
{
    const auto call = std::make_shared<Call<impl::wire::AnnounceRequest, impl::wire::AnnounceReply>>();
    call->request = impl::encode(announcement);
    call->context.set_deadline(std::chrono::system_clock::now() + timeout);
    const std::shared_ptr<impl::wire::Fleet::Stub> stub = impl::wire::Fleet::NewStub(impl_->channels.channelTo(proxy));
    stub->async()->Announce(&call->context, &call->request, &call->reply, [call, stub, done = std::move(done)](const grpc::Status &status) {
        done(status.ok() ? Result<QuiesceReply>(impl::decode(call->reply)) : Result<QuiesceReply>(unreachable(status)));
    });
}

void FleetClient::borrow(const Address &proxy,
                         const BorrowRequest &request,
                         Milliseconds timeout,
                         std::function<void(Result<BorrowReply>)> done)
{
    const auto call = std::make_shared<Call<impl::wire::BorrowRequest, impl::wire::BorrowReply>>();
    call->request = impl::encode(request);
    call->context.set_deadline(std::chrono::system_clock::now() + timeout);
    const std::shared_ptr<impl::wire::Fleet::Stub> stub = impl::wire::Fleet::NewStub(impl_->channels.channelTo(proxy));
    stub->async()->Borrow(&call->context, &call->request, &call->reply, [call, stub, done = std::move(done)](const grpc::Status &status) {
        done(status.ok() ? Result<BorrowReply>(impl::decode(call->reply)) : Result<BorrowReply>(unreachable(status)));
    });
}

void FleetClient::forget(const Address &proxy)
{
    impl_->channels.forget(proxy);
}

} // namespace cardamomstep::fleet
