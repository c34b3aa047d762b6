// The interface of a wire format between callers, this process and members.
#pragma once

#include "relay/message.h"

#include <concepts>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace cardamomstep::relay {

/// A caller opens its session.
struct StartSession {
    DatabaseName database;
    /// The caller's key as it was sent; any text, also empty.
    std::string key;
};

/// A caller ends its session.
struct EndSession {
};

/// A line that cannot be decoded.
struct UnreadableLine {
};

/// One line of a caller.
using CallerLine = std::variant<StartSession, SessionStatement, EndSession, UnreadableLine>;

/// One row of a reply.
struct MemberRow {
    std::string data;
};
/// The request succeeded; follows the rows.
struct MemberSuccess {
    /// Empty if the member signed nothing.
    std::string signature;
};
/// The request failed, or the member refused the connection.
struct MemberError {
    MemberFault fault = MemberFault::Unknown;
};
/// Ends the handshake and each reply.
struct MemberReady {
    SessionState state = SessionState::Idle;
    std::optional<LogPosition> position;
};
/// One line of a member.
using MemberLine = std::variant<MemberRow, MemberSuccess, MemberError, MemberReady, UnreadableLine>;

/// Converts lines to messages and back; lines are passed without their terminator.
template<typename Codec>
concept WireCodec = requires(std::string &out,
                             std::string_view line,
                             const CallerReply &reply,
                             const Error &error,
                             const GroupName &group,
                             const CustomerName &customer,
                             const MemberName &member,
                             const MemberRequest &request)
{
    {
        Codec::maxMessage
        } -> std::convertible_to<std::size_t>;
    {
        Codec::parseCaller(line)
        } -> std::same_as<CallerLine>;
    {
        Codec::parseMember(line)
        } -> std::same_as<MemberLine>;
    {
        Codec::parseStatusReply(line)
        } -> std::same_as<std::optional<MemberStatusReply>>;
    Codec::appendReply(out, reply);
    Codec::appendSessionReady(out);
    Codec::appendRefusal(out, error);
    Codec::appendMemberStart(out, group, customer, member);
    Codec::appendMemberRequest(out, request);
};

} // namespace cardamomstep::relay
