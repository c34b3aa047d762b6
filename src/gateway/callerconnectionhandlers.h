// What a caller's connection asks of its process and reports to it.
#pragma once

#include "base/result.h"
#include "gateway/forwardtarget.h"
#include "relay/callersession.h"
#include "relay/message.h"

#include <functional>
#include <optional>
#include <string_view>

namespace cardamomstep::gateway {

/// Callbacks of a CallerConnection.
struct CallerConnectionHandlers {
    /// Returns on whose behalf the caller uses the database; on an error the caller is refused and the connection closed.
    std::function<Result<customers::CallerIdentity>(const relay::DatabaseName &database, std::string_view key)> identify;
    /// Returns why a session must end because its key was withdrawn; nothing if it may go on.
    std::function<std::optional<Error>(const relay::DatabaseName &database, const customers::CallerIdentity &identity)> identityFault;
    /// Opens the session in this process; on an error the caller is refused and the connection closed.
    std::function<Result<Success>(const relay::DatabaseName &database, const customers::CallerIdentity &identity)> opened;
    std::function<void(const relay::SessionStatement &statement)> statement;
    /// The connection ended; not called after close().
    std::function<void()> closed;
    /// The proxy to forward a new session to; std::nullopt when this process serves it.
    std::function<std::optional<ForwardTarget>(const relay::DatabaseName &database, const customers::CallerIdentity &identity)> forward;
    /// A proxy could not be reached, closed its connection or did not reply.
    std::function<void(const Address &proxy)> forwardFailed;
    /// A proxy refused the session.
    std::function<void(const Address &proxy, const customers::CallerIdentity &identity)> forwardRefused;
    /// A proxy accepted the session.
    std::function<void(const Address &proxy, const customers::CallerIdentity &identity)> forwardAccepted;
    /// The proxy that should serve an existing session; std::nullopt if it may stay at \a servedBy, which is empty for this process.
    std::function<std::optional<Address>(
        const relay::DatabaseName &database, const customers::CallerIdentity &identity, const Address &servedBy)>
        redirect;
    /// A session was ended while idle, so that the caller's next one is served by \a proxy; the address is empty if another proxy decides.
    std::function<void(const Address &proxy)> redirected;
    /// Resumes in this process a session whose proxy was lost; false when that is not possible.
    std::function<bool(const relay::CallerSession &session)> adopted;
};

} // namespace cardamomstep::gateway
