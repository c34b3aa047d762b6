// Parses operators' requests: action, record and conditions.
#pragma once

#include "base/result.h"
#include "http/message.h"
#include "operators/fwd.h"
#include "records/kind.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cardamomstep::operators {

/// The actions of the operators' interface.
enum class Action : std::uint8_t {
    ListRecords, ///< GET /v1/records/KIND
    GetRecord, ///< GET /v1/records/KIND/NAME
    PutRecord, ///< PUT /v1/records/KIND/NAME
    DeleteRecord, ///< DELETE /v1/records/KIND/NAME
    Status, ///< GET /v1/status
    Watch, ///< GET /v1/watch
    History, ///< GET /v1/history
};

/// The longest name of an operator.
inline constexpr std::size_t maxOperatorNameBytes = 128;

/// A parsed request.
struct Route {
    Action action = Action::Status;
    /// The record; only the kind when the path names no record.
    RecordKey key;
    /// Name of the operator, from `x-operator`; it is not authenticated.
    std::string who;
    /// Version that must be the current one, from `if-match`; 0 means that the record must not exist.
    std::optional<std::uint64_t> expected;
    /// Revision that must be in force at this proxy before the request is handled, from `x-min-revision`.
    std::uint64_t minRevision = 0;
    /// True when the change is only to be checked, from `dryRun=1`.
    bool dryRun = false;
};

/// Parses \a request; the error is ErrorKind::NotFound for an unknown path or kind, else ErrorKind::MalformedRequest.
[[nodiscard]] Result<Route> readRoute(const http::Request &request);

/// The allowed values of a number in a query.
struct NumberRange {
    std::uint64_t lowest = 0;
    std::uint64_t highest = 0;
};

/// Returns the whole number \a name of the query; \a fallback when it is missing.
///
/// The error is ErrorKind::MalformedRequest when it is not a number in \a range.
[[nodiscard]] Result<std::uint64_t>
numberParameter(const http::Request &request, const std::string &name, std::uint64_t fallback, NumberRange range);

/// True when \a request has \a token as its bearer token.
///
/// Takes the same time for all wrong tokens of one length, so that the time does not reveal the token.
[[nodiscard]] bool isAuthorized(const http::Request &request, std::string_view token) noexcept;

} // namespace cardamomstep::operators
