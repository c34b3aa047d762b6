// Conversions between plain messages and the generated gRPC ones.
#pragma once

#include "fleet/generated/fleet.pb.h"
#include "fleet/messages.h"

namespace cardamomstep::fleet::impl {

namespace wire = cardamomstep::fleet::v1;

[[nodiscard]] wire::RenewRequest encode(const RenewRequest &request);
[[nodiscard]] RenewRequest decode(const wire::RenewRequest &message);
[[nodiscard]] wire::RenewReply encode(const RenewReply &reply);
[[nodiscard]] RenewReply decode(const wire::RenewReply &message);
[[nodiscard]] wire::AnnounceRequest encode(const Announcement &announcement);
[[nodiscard]] Announcement decode(const wire::AnnounceRequest &message);
[[nodiscard]] wire::AnnounceReply encode(const QuiesceReply &reply);
[[nodiscard]] QuiesceReply decode(const wire::AnnounceReply &message);
[[nodiscard]] wire::BorrowRequest encode(const BorrowRequest &request);
[[nodiscard]] BorrowRequest decode(const wire::BorrowRequest &message);
[[nodiscard]] wire::BorrowReply encode(const BorrowReply &reply);
[[nodiscard]] BorrowReply decode(const wire::BorrowReply &message);

} // namespace cardamomstep::fleet::impl
