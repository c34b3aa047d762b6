// Answers the statements that need no member, and updates a session's state from members' replies.
#include "relay/callersession.h"

#include "base/percent.h"

#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <string_view>

namespace cardamomstep::relay {

namespace {

/// The maximum number of values and prepared names in one session.
constexpr std::size_t maxSessionEntries = 1024;
/// The longest encoded shape that is part of its name at members; of a longer one, the digest is.
constexpr std::size_t maxEncodedShapeBytes = 128;

/// Returns the SHA-256 digest of \a text in hexadecimal digits.
std::string digestText(std::string_view text)
{
    std::array<std::uint8_t, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &length, EVP_sha256(), nullptr);
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hexadecimal;
    for (unsigned int index = 0; index < length; ++index) {
        hexadecimal += digits[digest[index] >> 4U];
        hexadecimal += digits[digest[index] & 0x0FU];
    }
    return hexadecimal;
}

} // namespace

bool isSessionSetup(StatementKind kind) noexcept
{
    return kind == StatementKind::SetValue || kind == StatementKind::Prepare || kind == StatementKind::Deallocate;
}

std::string preparedNameOf(const PreparedShape &shape)
{
    const std::string prefix = shape.access == Access::Write ? "w" : "r";
    // No encoded text contains '#', so the two forms differ.
    const auto encoded = percentEncoded(shape.shape);
    return encoded.size() <= maxEncodedShapeBytes ? prefix + '_' + encoded : prefix + '#' + digestText(shape.shape);
}

StatementDisposition CallerSession::handle(const SessionStatement &statement, CallerReply &reply)
{
    switch (phase_) {
    case TransactionPhase::None:
        return handleOutsideTransaction(statement, reply);
    case TransactionPhase::BeginDeferred:
    case TransactionPhase::Open:
        return handleInTransaction(statement, reply);
    case TransactionPhase::Failed:
    case TransactionPhase::Lost:
        break;
    }
    return handleAfterFailure(statement, reply);
}

StatementDisposition CallerSession::handleOutsideTransaction(const SessionStatement &statement, CallerReply &reply)
{
    if (isSessionSetup(statement.kind)) {
        return handleSetup(statement, reply);
    }
    switch (statement.kind) {
    case StatementKind::Begin:
        phase_ = TransactionPhase::BeginDeferred;
        readOnly_ = statement.readOnly;
        wrote_ = false;
        reply.state = state();
        return StatementDisposition::AnsweredLocally;
    case StatementKind::Rollback:
        reply.state = state();
        return StatementDisposition::AnsweredLocally;
    case StatementKind::Commit:
        return refuse(reply, ErrorKind::MalformedRequest, "no transaction is open");
    case StatementKind::Execute:
        if (prepared(statement.name) == nullptr) {
            return refuse(reply, ErrorKind::UnknownStatement, statement.name);
        }
        return StatementDisposition::Forward;
    case StatementKind::Read:
    case StatementKind::Write:
        return StatementDisposition::Forward;
    default:
        return refuse(reply, ErrorKind::MalformedRequest, "the statement cannot be read");
    }
}

StatementDisposition CallerSession::handleInTransaction(const SessionStatement &statement, CallerReply &reply)
{
    const bool open = phase_ == TransactionPhase::Open;
    if (isSessionSetup(statement.kind)) {
        return handleSetup(statement, reply);
    }
    switch (statement.kind) {
    case StatementKind::Rollback:
        endTransaction();
        reply.state = state();
        return open ? StatementDisposition::RollBackAtMember : StatementDisposition::AnsweredLocally;
    case StatementKind::Commit:
        if (open) {
            return StatementDisposition::Forward;
        }
        endTransaction();
        reply.state = state();
        return StatementDisposition::AnsweredLocally;
    case StatementKind::Execute:
        if (prepared(statement.name) == nullptr) {
            return refuse(reply, ErrorKind::UnknownStatement, statement.name);
        }
        break;
    case StatementKind::Read:
    case StatementKind::Write:
        break;
    default:
        return refuse(reply, ErrorKind::MalformedRequest, "the statement is malformed or not allowed inside a transaction");
    }
    if (readOnly_ && writes(statement)) {
        return refuse(reply, ErrorKind::Superseded, "the transaction is read-only");
    }
    return StatementDisposition::Forward;
}

StatementDisposition CallerSession::handleAfterFailure(const SessionStatement &statement, CallerReply &reply)
{
    if (statement.kind == StatementKind::Rollback) {
        endTransaction();
        reply.state = state();
        return StatementDisposition::AnsweredLocally;
    }
    if (statement.kind == StatementKind::Commit) {
        endTransaction();
        return refuse(reply, ErrorKind::TransactionAborted, "the transaction had failed and was rolled back");
    }
    if (phase_ == TransactionPhase::Lost) {
        return refuse(reply, ErrorKind::TransactionAborted, "the transaction was rolled back while it was idle");
    }
    return refuse(reply, ErrorKind::MalformedRequest, "the transaction failed; only commit or rollback is accepted");
}

StatementDisposition CallerSession::handleSetup(const SessionStatement &statement, CallerReply &reply)
{
    if (statement.kind == StatementKind::Deallocate) {
        if (prepared_.erase(statement.name) == 0) {
            return refuse(reply, ErrorKind::UnknownStatement, statement.name);
        }
    } else if (values_.size() + prepared_.size() >= maxSessionEntries) {
        return refuse(reply, ErrorKind::TooLarge, "the session has too many values and prepared statements");
    } else if (statement.kind == StatementKind::Prepare) {
        prepared_[statement.name] = PreparedShape{statement.access, statement.argument};
    } else {
        values_[statement.name] = statement.argument;
    }
    reply.state = state();
    return StatementDisposition::AnsweredLocally;
}

/// Answers with an error; the transaction, if any, becomes failed.
StatementDisposition CallerSession::refuse(CallerReply &reply, ErrorKind kind, std::string description)
{
    const bool open = phase_ == TransactionPhase::Open;
    if (phase_ != TransactionPhase::None) {
        phase_ = TransactionPhase::Failed;
    }
    reply.error = Error{kind, std::move(description)};
    reply.state = state();
    return open ? StatementDisposition::RollBackAtMember : StatementDisposition::AnsweredLocally;
}

void CallerSession::statementSucceeded(const SessionStatement &statement, const std::optional<LogPosition> &position)
{
    if (phase_ == TransactionPhase::None) {
        if (writes(statement) && position) {
            lastCommit_ = std::max(lastCommit_.value_or(LogPosition{}), *position);
        }
        return;
    }
    if (statement.kind == StatementKind::Commit) {
        if (wrote_ && position) {
            lastCommit_ = std::max(lastCommit_.value_or(LogPosition{}), *position);
        }
        endTransaction();
        return;
    }
    wrote_ = wrote_ || writes(statement);
}

void CallerSession::statementFailed(const SessionStatement &statement) noexcept
{
    if (phase_ == TransactionPhase::None) {
        return;
    }
    if (statement.kind == StatementKind::Commit) {
        endTransaction();
        return;
    }
    phase_ = TransactionPhase::Failed;
}

SessionState CallerSession::state() const noexcept
{
    switch (phase_) {
    case TransactionPhase::None:
        return SessionState::Idle;
    case TransactionPhase::BeginDeferred:
    case TransactionPhase::Open:
        return SessionState::InTransaction;
    case TransactionPhase::Failed:
    case TransactionPhase::Lost:
        break;
    }
    return SessionState::Failed;
}

bool CallerSession::writes(const SessionStatement &statement) const
{
    if (statement.kind == StatementKind::Execute) {
        const auto *shape = prepared(statement.name);
        return shape != nullptr && shape->access == Access::Write;
    }
    return statement.kind == StatementKind::Write;
}

const PreparedShape *CallerSession::prepared(const std::string &name) const
{
    const auto found = prepared_.find(name);
    return found == prepared_.end() ? nullptr : &found->second;
}

void CallerSession::endTransaction() noexcept
{
    phase_ = TransactionPhase::None;
    wrote_ = false;
    readOnly_ = false;
}

} // namespace cardamomstep::relay
