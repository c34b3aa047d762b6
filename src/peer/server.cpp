// Server for calls between proxies, over gRPC.
#include "peer/server.h"

#include "peer/generated/peer.grpc.pb.h"
#include "peer/impl/channels.h"
#include "peer/impl/peercodec.h"

#include <grpcpp/grpcpp.h>

#include <chrono>

namespace cardamomstep::peer {

namespace {

constexpr Milliseconds shutdownGrace{500};
constexpr int maxMessageBytes = 64 << 20;

class Service : public impl::wire::Peer::Service
{
public:
    explicit Service(Handlers handlers)
        : handlers_(std::move(handlers))
    {
    }

    grpc::Status
    Execute(grpc::ServerContext * /*context*/, const impl::wire::StatementRequest *request, impl::wire::StatementReply *reply) override
    {
        *reply = impl::encode(handlers_.execute(impl::decode(*request), Microseconds{request->remaining_us()}));
        return grpc::Status::OK;
    }

    grpc::Status Ping(grpc::ServerContext * /*context*/, const impl::wire::PingMessage *request, impl::wire::PingMessage *reply) override
    {
        *reply = impl::encode(handlers_.ping(impl::decode(*request)));
        return grpc::Status::OK;
    }

    grpc::Status
    Snapshot(grpc::ServerContext * /*context*/, const impl::wire::SnapshotRequest * /*request*/, impl::wire::SnapshotReply *reply) override
    {
        *reply = impl::encode(handlers_.snapshot());
        return grpc::Status::OK;
    }

    grpc::Status
    Spread(grpc::ServerContext * /*context*/, const impl::wire::SpreadMessage *request, impl::wire::SpreadMessage *reply) override
    {
        *reply = impl::encode(handlers_.gossip(impl::decode(*request)));
        return grpc::Status::OK;
    }

    grpc::Status
    Sight(grpc::ServerContext * /*context*/, const impl::wire::SightingMessage *request, impl::wire::SightingMessage *reply) override
    {
        *reply = impl::encode(handlers_.exchangeObservations(impl::decode(*request)));
        return grpc::Status::OK;
    }

private:
    Handlers handlers_;
};

std::shared_ptr<grpc::ServerCredentials> makeCredentials(const Credentials &credentials)
{
    if (credentials.certificateFile.empty()) {
        return grpc::InsecureServerCredentials();
    }
    grpc::SslServerCredentialsOptions options(GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
    options.pem_root_certs = impl::readFile(credentials.caFile);
    options.pem_key_cert_pairs.push_back({impl::readFile(credentials.keyFile), impl::readFile(credentials.certificateFile)});
    return grpc::SslServerCredentials(options);
}

} // namespace

struct Server::Impl {
    explicit Impl(Handlers handlers)
        : service(std::move(handlers))
    {
    }

    Service service;
    std::unique_ptr<grpc::Server> server;
};

Server::Server(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl))
{
}

Result<std::unique_ptr<Server>> Server::start(const Address &address, const Credentials &credentials, Handlers handlers)
{
    auto impl = std::make_unique<Impl>(std::move(handlers));
    grpc::ServerBuilder builder;
    builder.AddListeningPort(address.text(), makeCredentials(credentials));
    builder.SetMaxReceiveMessageSize(maxMessageBytes);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.RegisterService(&impl->service);
    impl->server = builder.BuildAndStart();
    if (!impl->server) {
        return Error{ErrorKind::Internal, "cannot listen on " + address.text()}.withRan(Ran::No);
    }
    return std::unique_ptr<Server>(new Server(std::move(impl)));
}

Server::~Server()
{
    impl_->server->Shutdown(std::chrono::system_clock::now() + shutdownGrace);
}

} // namespace cardamomstep::peer
