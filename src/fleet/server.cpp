// FleetServer with gRPC's callback API: no thread blocks while a reply is pending.
#include "fleet/server.h"

#include "fleet/generated/fleet.grpc.pb.h"
#include "fleet/impl/fleetcodec.h"

#include <grpcpp/grpcpp.h>

namespace cardamomstep::fleet {

namespace {

using impl::decode;
using impl::encode;

class Service final : public impl::wire::Fleet::CallbackService
{
public:
    explicit Service(FleetHandlers handlers)
        : handlers_(std::move(handlers))
    {
    }

    grpc::ServerUnaryReactor *
    Renew(grpc::CallbackServerContext *context, const impl::wire::RenewRequest *request, impl::wire::RenewReply *reply) override
    {
        auto *reactor = context->DefaultReactor();
        handlers_.renew(decode(*request), [reactor, reply](const RenewReply &result) {
            *reply = encode(result);
            reactor->Finish(grpc::Status::OK);
        });
        return reactor;
    }

    grpc::ServerUnaryReactor *
    Announce(grpc::CallbackServerContext *context, const impl::wire::AnnounceRequest *request, impl::wire::AnnounceReply *reply) override
    {
        auto *reactor = context->DefaultReactor();
        handlers_.announce(decode(*request), [reactor, reply](const QuiesceReply &result) {
            *reply = encode(result);
            reactor->Finish(grpc::Status::OK);
        });
        return reactor;
    }

    grpc::ServerUnaryReactor *
    Borrow(grpc::CallbackServerContext *context, const impl::wire::BorrowRequest *request, impl::wire::BorrowReply *reply) override
    {
        auto *reactor = context->DefaultReactor();
        handlers_.lend(decode(*request), [reactor, reply](const BorrowReply &result) {
            *reply = encode(result);
            reactor->Finish(grpc::Status::OK);
        });
        return reactor;
    }

private:
    FleetHandlers handlers_;
};

} // namespace

struct FleetServer::Impl {
    explicit Impl(FleetHandlers handlers)
        : service(std::move(handlers))
    {
    }

    Service service;
    std::unique_ptr<grpc::Server> server;
};

FleetServer::FleetServer(FleetHandlers handlers)
    : impl_(std::make_unique<Impl>(std::move(handlers)))
{
}

FleetServer::~FleetServer()
{
    stop();
}

Result<Success> FleetServer::listen(const Address &address)
{
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort(address.text(), grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(&impl_->service);
    impl_->server = builder.BuildAndStart();
    if (!impl_->server || port == 0) {
        return Error{ErrorKind::InvalidSettings, "cannot listen on " + address.text()};
    }
    return Success{};
}

void FleetServer::stop()
{
    if (impl_->server) {
        impl_->server->Shutdown(std::chrono::system_clock::now());
        impl_->server.reset();
    }
}

} // namespace cardamomstep::fleet
