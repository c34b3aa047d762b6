// Cache of gRPC channels, one for each peer address.
#include "peer/impl/channels.h"

#include <grpcpp/grpcpp.h>

#include <fstream>
#include <iterator>

namespace cardamomstep::peer::impl {

namespace {

constexpr int minReconnectBackoffMs = 50;
constexpr int maxReconnectBackoffMs = 1000;
constexpr int keepaliveTimeMs = 10'000;
constexpr int keepaliveTimeoutMs = 2'000;

std::shared_ptr<grpc::ChannelCredentials> makeCredentials(const Credentials &credentials)
{
    if (credentials.caFile.empty()) {
        return grpc::InsecureChannelCredentials();
    }
    grpc::SslCredentialsOptions options;
    options.pem_root_certs = readFile(credentials.caFile);
    options.pem_private_key = readFile(credentials.keyFile);
    options.pem_cert_chain = readFile(credentials.certificateFile);
    return grpc::SslCredentials(options);
}

} // namespace

std::string readFile(const std::string &path)
{
    std::ifstream in(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

Channels::Channels(const Credentials &credentials)
    : credentials_(makeCredentials(credentials))
{
}

std::shared_ptr<grpc::Channel> Channels::channelTo(const Address &address)
{
    const std::lock_guard lock(mutex_);
    auto &channel = channels_[address];
    if (!channel) {
        grpc::ChannelArguments arguments;
        arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, minReconnectBackoffMs);
        arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, minReconnectBackoffMs);
        arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, maxReconnectBackoffMs);
        arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, keepaliveTimeMs);
        arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepaliveTimeoutMs);
        arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
        arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
        channel = grpc::CreateCustomChannel("ipv4:" + address.text(), credentials_, arguments);
    }
    return channel;
}

void Channels::forget(const Address &address)
{
    const std::lock_guard lock(mutex_);
    channels_.erase(address);
}

} // namespace cardamomstep::peer::impl
