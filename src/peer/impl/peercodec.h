// Conversions between plain messages and the generated gRPC ones.
#pragma once

#include "peer/generated/peer.pb.h"
#include "peer/messages.h"
#include "statements/statement.h"

namespace cardamomstep::peer::impl {

namespace wire = ::cardamomstep::peer::v1;

[[nodiscard]] wire::StatementRequest encode(const Statement &statement, Microseconds remaining);
[[nodiscard]] Statement decode(const wire::StatementRequest &message);
[[nodiscard]] wire::StatementReply encode(const Answer &answer);
[[nodiscard]] Answer decode(const wire::StatementReply &message);
[[nodiscard]] wire::PingRequest encode(const Ping &ping);
[[nodiscard]] Ping decode(const wire::PingRequest &message);
[[nodiscard]] wire::PingReply encode(const Pong &pong);
[[nodiscard]] Pong decode(const wire::PingReply &message);
[[nodiscard]] wire::ObjectsMessage encode(const Objects &objects);
[[nodiscard]] Objects decode(const wire::ObjectsMessage &message);
[[nodiscard]] wire::DigestMessage encode(const Digest &digest);
[[nodiscard]] Digest decode(const wire::DigestMessage &message);
[[nodiscard]] wire::SightingMessage encode(const Sighting &sighting);
[[nodiscard]] Sighting decode(const wire::SightingMessage &message);

} // namespace cardamomstep::peer::impl
