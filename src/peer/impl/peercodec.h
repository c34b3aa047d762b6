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
[[nodiscard]] wire::PingMessage encode(const Ping &ping);
[[nodiscard]] Ping decode(const wire::PingMessage &message);
[[nodiscard]] wire::SnapshotReply encode(const std::vector<SharedUpdate> &updates);
[[nodiscard]] std::vector<SharedUpdate> decode(const wire::SnapshotReply &message);
[[nodiscard]] wire::SpreadMessage encode(const GossipMessage &gossip);
[[nodiscard]] GossipMessage decode(const wire::SpreadMessage &message);
[[nodiscard]] wire::SightingMessage encode(const GroupObservation &observation);
[[nodiscard]] GroupObservation decode(const wire::SightingMessage &message);

} // namespace cardamomstep::peer::impl
