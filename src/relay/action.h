// The actions that the engine requests from its I/O layer.
#pragma once

#include "logging/log.h"
#include "relay/message.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cardamomstep::relay {

/// Sends a complete answer to a caller.
struct ReplyToCaller {
    CallerKey caller = 0;
    CallerReply reply;
    /// Empty if no group was involved.
    GroupName group;
    StatementKind kind = StatementKind::Malformed;
    /// Time from the statement's arrival to this answer.
    Microseconds took{0};
};

/// Closes a caller's session after all pending output has been written.
struct CloseCaller {
    CallerKey caller = 0;
};

/// Connects to a member; the result is reported by Engine::connectionOpened() or Engine::connectionClosed().
struct OpenMemberConnection {
    MemberConnectionKey connection = 0;
    MemberName member;
    GroupName group;
    Address address;
    /// The customer that the connection belongs to; empty without customers.
    CustomerName customer;
};

/// Sends requests to a member, in this order.
struct SendToMember {
    MemberConnectionKey connection = 0;
    std::vector<MemberRequest> requests;
};

/// Closes a connection; replies that still arrive on it are not reported.
struct CloseMemberConnection {
    MemberConnectionKey connection = 0;
};

/// Writes a log line.
struct LogDecision {
    LogLevel level = LogLevel::Info;
    std::string_view event;
    std::vector<LogField> fields;
};

using Action = std::variant<ReplyToCaller, CloseCaller, OpenMemberConnection, SendToMember, CloseMemberConnection, LogDecision>;
using Actions = std::vector<Action>;

} // namespace cardamomstep::relay
