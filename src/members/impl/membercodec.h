// JSON encoding of the members' messages.
#pragma once

#include "members/member.h"

#include <optional>
#include <string>

namespace cardamomstep::impl {

/// Returns the body of a statement call.
[[nodiscard]] std::string encodeCall(const MemberCall &call);

/// Decodes a report; none if it is malformed.
[[nodiscard]] std::optional<MemberReport> decodeReport(const std::string &body);

/// Decodes a reply to adopt, lead or follow; none if it is malformed.
[[nodiscard]] std::optional<TermReply> decodeTermReply(const std::string &body);

/// Decodes a reply to an outcome query; none if it is malformed.
[[nodiscard]] std::optional<OutcomeReply> decodeOutcome(const std::string &body);

/// Decodes a statement reply; none if it is malformed, its row count doesn't match its rows, or it doesn't belong to \a exchange.
[[nodiscard]] std::optional<MemberReply> decodeReply(const std::string &body, const std::string &exchange);

/// Returns the body of an "adopt" or "lead" order.
[[nodiscard]] std::string encodeTerm(Term term);

/// Returns the body of a "follow" order.
[[nodiscard]] std::string encodeFollow(Term term, const MemberName &primary, const Address &address);

/// Returns the body of an outcome query.
[[nodiscard]] std::string encodeOutcome(const RequestId &id);

} // namespace cardamomstep::impl
