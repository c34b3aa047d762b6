// Cache of gRPC channels, one for each peer address.
#pragma once

#include "base/ids.h"
#include "peer/client.h"

#include <grpcpp/channel.h>
#include <grpcpp/security/credentials.h>

#include <memory>
#include <mutex>
#include <unordered_map>

namespace cardamomstep::peer::impl {

/// Returns the content of a file; empty if it cannot be read.
[[nodiscard]] std::string readFile(const std::string &path);

/// Creates channels and keeps them open; safe for use by many threads.
class Channels
{
public:
    explicit Channels(const Credentials &credentials);

    /// Returns the channel to \a address, which is created on first use.
    [[nodiscard]] std::shared_ptr<grpc::Channel> channelTo(const Address &address);

    /// Drops the channel to \a address; calls in flight keep it until they end.
    void forget(const Address &address);

private:
    std::shared_ptr<grpc::ChannelCredentials> credentials_;
    std::mutex mutex_;
    /// Guarded by mutex_.
    std::unordered_map<Address, std::shared_ptr<grpc::Channel>> channels_;
};

} // namespace cardamomstep::peer::impl
