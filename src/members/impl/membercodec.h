// JSON forms of the members' messages.
#pragma once

#include "members/member.h"

#include <optional>
#include <string>

namespace cardamomstep::impl {

/// The body of a statement call.
[[nodiscard]] std::string encodeCall(const MemberCall &call);

/// Reads a report; nothing when it is malformed.
[[nodiscard]] std::optional<MemberReport> decodeReport(const std::string &body);

/// Reads a reply to adopt, lead or follow; nothing when it is malformed.
[[nodiscard]] std::optional<TermReply> decodeTermReply(const std::string &body);

/// Reads a reply to an outcome question; nothing when it is malformed.
[[nodiscard]] std::optional<OutcomeReply> decodeOutcome(const std::string &body);

/// Reads a statement reply and checks it whole: its row count matches its rows, and it belongs to \a exchange.
[[nodiscard]] std::optional<MemberReply> decodeReply(const std::string &body, const std::string &exchange);

/// The text of an "adopt" or "lead" order.
[[nodiscard]] std::string encodeTerm(Term term);

/// The text of a "follow" order.
[[nodiscard]] std::string encodeFollow(Term term, const MemberName &primary, const Address &address);

/// The text of an outcome question.
[[nodiscard]] std::string encodeOutcome(const RequestId &id);

} // namespace cardamomstep::impl
