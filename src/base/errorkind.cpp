// The answer table and the std::error_category of error kinds.
#include "base/errorkind.h"

#include <array>
#include <string>

namespace cardamomstep {

namespace {

constexpr std::array<AnswerRule, errorKindCount> rules{{
    {ErrorKind::MalformedRequest, "malformed-request", 400, Ran::No, false, "The request cannot be read."},
    {ErrorKind::UnsupportedVersion, "unsupported-version", 400, Ran::No, false, "The interface or schema version is not supported."},
    {ErrorKind::TooLarge, "too-large", 413, Ran::No, false, "The request exceeds a size limit."},
    {ErrorKind::Unauthorized, "unauthorized", 401, Ran::No, false, "The operator token or the customer key is missing or wrong."},
    {ErrorKind::UnknownService, "unknown-service", 404, Ran::No, false, "No routing intent names this service."},
    {ErrorKind::UnknownGroup, "unknown-group", 404, Ran::No, false, "No record describes this database group."},
    {ErrorKind::NotFound, "not-found", 404, Ran::No, false, "The named resource does not exist."},
    {ErrorKind::InvalidToken, "invalid-token", 400, Ran::No, false, "The session token cannot be read."},
    {ErrorKind::TokenAhead, "token-ahead", 409, Ran::No, false, "The session token names a log position that the group never reached."},
    {ErrorKind::RequestIdReused,
     "request-id-reused",
     409,
     Ran::No,
     false,
     "The request id was already used by a request with a different body."},
    {ErrorKind::InvalidRecord, "invalid-record", 422, Ran::No, false, "The record is not valid."},
    {ErrorKind::InvalidSettings, "invalid-settings", 422, Ran::No, false, "The settings are not valid."},
    {ErrorKind::UnreadableForm, "unreadable-form", 409, Ran::No, false, "A live proxy cannot read this schema version."},
    {ErrorKind::Conflict, "conflict", 409, Ran::No, false, "The object's version differs from the expected one."},
    {ErrorKind::Overloaded, "overloaded", 503, Ran::No, true, "The request would not finish within its window."},
    {ErrorKind::LimitExceeded, "limit-exceeded", 429, Ran::No, true, "The customer's rate limit is reached."},
    {ErrorKind::WindowTooShort, "window-too-short", 504, Ran::No, true, "The request's window ended before it was sent."},
    {ErrorKind::Draining, "draining", 503, Ran::No, true, "This proxy is stopping."},
    {ErrorKind::NotReady, "not-ready", 503, Ran::No, true, "This proxy does not know the current configuration."},
    {ErrorKind::NoPrimary, "no-primary", 503, Ran::No, true, "The group currently has no primary."},
    {ErrorKind::NotFresh, "not-fresh", 503, Ran::No, true, "No member is fresh enough for this read."},
    {ErrorKind::StatementFailed, "statement-failed", 422, Ran::No, false, "The endpoint refused the statement."},
    {ErrorKind::StatementTimeout,
     "statement-timeout",
     504,
     Ran::Unknown,
     true,
     "The endpoint did not reply to the statement before the timeout."},
    {ErrorKind::UnknownStatement, "unknown-statement", 404, Ran::No, false, "The session has no prepared statement of this name."},
    {ErrorKind::Superseded, "superseded", 503, Ran::No, true, "The primary was superseded before the statement ran."},
    {ErrorKind::OutcomeUnknown,
     "outcome-unknown",
     504,
     Ran::Unknown,
     true,
     "The request may have run; query its outcome by its request id."},
    {ErrorKind::TransactionUnknown,
     "transaction-unknown",
     404,
     Ran::No,
     false,
     "The transaction is not open; its changes were rolled back."},
    {ErrorKind::TransactionAborted, "transaction-aborted", 409, Ran::No, true, "The transaction was rolled back."},
    {ErrorKind::CorruptAnswer, "corrupt-answer", 502, Ran::Unknown, true, "The endpoint's reply was truncated or malformed."},
    {ErrorKind::EndpointUnreachable, "endpoint-unreachable", 503, Ran::No, true, "The endpoint could not be reached."},
    {ErrorKind::StoreUnavailable, "store-unavailable", 503, Ran::No, true, "The platform's store does not reply."},
    {ErrorKind::StoreOutcomeUnknown,
     "store-outcome-unknown",
     504,
     Ran::Unknown,
     true,
     "The change may have been accepted; read the object to find out."},
    {ErrorKind::PeerUnreachable, "peer-unreachable", 503, Ran::No, true, "The owning proxy could not be reached."},
    {ErrorKind::PlanRefused, "plan-refused", 409, Ran::No, false, "The stop plan cannot be executed."},
    {ErrorKind::Internal, "internal", 500, Ran::Unknown, true, "An internal error occurred; see the log."},
}};

constexpr bool tableIsInOrder()
{
    for (std::size_t index = 0; index < rules.size(); ++index) {
        if (static_cast<std::size_t>(rules[index].kind) != index) {
            return false;
        }
    }
    return true;
}
static_assert(tableIsInOrder(), "the answer table lists every error kind once, in order");

class Category : public std::error_category
{
public:
    [[nodiscard]] const char *name() const noexcept override
    {
        return "cardamomstep";
    }

    [[nodiscard]] std::string message(int value) const override
    {
        const auto index = static_cast<std::size_t>(value) - 1;
        return index < rules.size() ? std::string(rules[index].summary) : std::string("unknown error");
    }
};

} // namespace

const AnswerRule &answerRule(ErrorKind kind) noexcept
{
    return rules[static_cast<std::size_t>(kind)];
}

bool errorKindFromName(std::string_view name, ErrorKind &kind) noexcept
{
    for (const auto &rule : rules) {
        if (rule.name == name) {
            kind = rule.kind;
            return true;
        }
    }
    return false;
}

std::string_view toText(Ran ran) noexcept
{
    switch (ran) {
    case Ran::No:
        return "no";
    case Ran::Yes:
        return "yes";
    case Ran::Unknown:
        break;
    }
    return "unknown";
}

const std::error_category &errorCategory() noexcept
{
    static const Category category;
    return category;
}

std::error_code make_error_code(ErrorKind kind) noexcept
{
    return {static_cast<int>(kind) + 1, errorCategory()};
}

} // namespace cardamomstep
