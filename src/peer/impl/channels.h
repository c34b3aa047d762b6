// The kept gRPC channels, one for each peer address.
#pragma once

#include "base/ids.h"
#include "peer/client.h"

#include <grpcpp/channel.h>
#include <grpcpp/security/credentials.h>

#include <memory>
#include <mutex>
#include <unordered_map>

namespace cardamomstep::peer::impl {

/// Reads a whole file; empty when it cannot be read.
[[nodiscard]] std::string readFile(const std::string &path);

/// Makes and keeps channels; safe for use by many threads.
class Channels
{
public:
    explicit Channels(const Credentials &credentials);

    /// The channel to \a address, made on first use.
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
