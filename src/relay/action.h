// What the engine tells its shell to do.
#pragma once

#include "logging/log.h"
#include "relay/message.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cardamomstep::relay {

/// Send the whole answer to a caller.
struct ReplyToCaller {
    CallerKey caller = 0;
    CallerReply reply;
    /// Empty where no group was involved.
    GroupName group;
    StatementKind kind = StatementKind::Malformed;
    /// From the statement's arrival to this answer.
    Microseconds took{0};
};

/// End a caller's session once what was sent has left.
struct CloseCaller {
    CallerKey caller = 0;
};

/// Connect to a member; report Engine::linkOpened() or Engine::linkClosed().
struct OpenMemberConnection {
    MemberConnectionKey connection = 0;
    MemberName member;
    GroupName group;
    Address address;
};

/// Send requests to a member in this order.
struct SendToMember {
    MemberConnectionKey connection = 0;
    std::vector<MemberRequest> requests;
};

/// Close a connection; nothing that still arrives on it is reported.
struct CloseMemberConnection {
    MemberConnectionKey connection = 0;
};

/// Write a log line.
struct LogDecision {
    LogLevel level = LogLevel::Info;
    std::string_view event;
    std::vector<LogField> fields;
};

using Action = std::variant<ReplyToCaller, CloseCaller, OpenMemberConnection, SendToMember, CloseMemberConnection, LogDecision>;
using Actions = std::vector<Action>;

} // namespace cardamomstep::relay
