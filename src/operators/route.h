// What an operator's request asks for.
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

/// Everything that can be asked for.
enum class Action : std::uint8_t {
    ListRecords, ///< GET /v1/records/KIND
    GetRecord, ///< GET /v1/records/KIND/NAME
    PutRecord, ///< PUT /v1/records/KIND/NAME
    DeleteRecord, ///< DELETE /v1/records/KIND/NAME
    Status, ///< GET /v1/status
    Watch, ///< GET /v1/watch
    History, ///< GET /v1/history
};

/// Longest name of an operator.
inline constexpr std::size_t maxOperatorNameBytes = 128;

/// A request, taken apart.
struct Route {
    Action action = Action::Status;
    /// The record or, without a name, the kind.
    RecordKey key;
    /// Name that the operator gave in `x-operator`; claimed, not proven.
    std::string who;
    /// Version that must be current, from `if-match`; 0 means that the record must not exist.
    std::optional<std::uint64_t> expected;
    /// Revision that must be in force here first, from `x-min-revision`.
    std::uint64_t minRevision = 0;
    /// True when only the checks are wanted, from `dryRun=1`.
    bool dryRun = false;
};

/// Takes \a request apart; the error is ErrorKind::NotFound for an unknown path, else ErrorKind::MalformedRequest.
[[nodiscard]] Result<Route> readRoute(const http::Request &request);

/// The whole number \a name of the query; \a fallback when it is missing.
///
/// The error is ErrorKind::MalformedRequest when it is not a number from 0 to \a highest.
[[nodiscard]] Result<std::uint64_t>
numberParameter(const http::Request &request, const std::string &name, std::uint64_t fallback, std::uint64_t highest);

/// True when \a request carries \a token as its bearer token; takes the same time for every wrong token of one length.
[[nodiscard]] bool isAuthorized(const http::Request &request, std::string_view token) noexcept;

} // namespace cardamomstep::operators
