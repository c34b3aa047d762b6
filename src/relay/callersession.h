// The state of one caller's session: its values, prepared names, transaction and last commit.
#pragma once

#include "base/ids.h"
#include "base/logposition.h"
#include "base/time.h"
#include "customers/customer.h"
#include "relay/message.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace cardamomstep::relay {

/// A prepared statement, without its name.
struct PreparedShape {
    Access access = Access::Read;
    std::string shape;

    [[nodiscard]] auto operator<=>(const PreparedShape &) const = default;
};

/// Returns the name under which \a shape is prepared at members.
///
/// It is the same for all sessions, so that they share the prepared statement. It is one field of a line, whatever bytes the shape has,
/// and differs for different shapes.
[[nodiscard]] std::string preparedNameOf(const PreparedShape &shape);

/// Returns true for statements that only change the session itself; they are not sent to a member.
[[nodiscard]] bool isSessionSetup(StatementKind kind) noexcept;

/// The state of a transaction.
enum class TransactionPhase : std::uint8_t {
    None,
    BeginDeferred, ///< The caller began it; it is opened at a member with the first statement.
    Open, ///< It is open at a member, on the session's connection.
    Failed, ///< It was rolled back and the caller was informed; the caller has not ended it yet.
    Lost, ///< It was rolled back while the caller was idle; the caller has not been informed yet.
};

/// How a statement is processed.
enum class StatementDisposition : std::uint8_t {
    AnsweredLocally, ///< The session answered it without a member.
    Forward, ///< It is forwarded to a member.
    RollBackAtMember, ///< The caller is answered, and the member's transaction must be rolled back.
};

/// One caller's session, as a state machine that answers statements which need no member.
class CallerSession
{
public:
    explicit CallerSession(DatabaseName database, customers::CallerIdentity identity = {})
        : database_(std::move(database))
        , identity_(std::move(identity))
    {
    }

    [[nodiscard]] const DatabaseName &database() const noexcept
    {
        return database_;
    }

    /// Returns on whose behalf the session runs.
    [[nodiscard]] const customers::CallerIdentity &identity() const noexcept
    {
        return identity_;
    }

    /// Sets on whose behalf the session's next statements run.
    void setIdentity(customers::CallerIdentity identity)
    {
        identity_ = std::move(identity);
    }

    /// Handles a statement; fills \a reply unless the result is StatementDisposition::Forward.
    [[nodiscard]] StatementDisposition handle(const SessionStatement &statement, CallerReply &reply);

    /// Records that the transaction was opened at a member.
    void transactionOpened() noexcept
    {
        phase_ = TransactionPhase::Open;
    }

    /// Records that a member ran a forwarded \a statement successfully; \a position is the log position of its reply.
    void statementSucceeded(const SessionStatement &statement, const std::optional<LogPosition> &position);

    /// Records that a forwarded \a statement failed; state() then returns the resulting state.
    void statementFailed(const SessionStatement &statement) noexcept;

    /// Records that the open transaction was rolled back while no statement was in progress.
    void transactionLost() noexcept
    {
        phase_ = TransactionPhase::Lost;
    }

    /// Returns the state that is reported to the caller.
    [[nodiscard]] SessionState state() const noexcept;

    [[nodiscard]] TransactionPhase phase() const noexcept
    {
        return phase_;
    }

    /// Returns true if the transaction was begun as read-only.
    [[nodiscard]] bool readOnlyTransaction() const noexcept
    {
        return readOnly_;
    }

    /// Returns true if the open transaction has written.
    [[nodiscard]] bool wrote() const noexcept
    {
        return wrote_;
    }

    /// Returns true if \a statement writes; Execute counts as the statement that was prepared.
    [[nodiscard]] bool writes(const SessionStatement &statement) const;

    /// Returns the statement prepared under \a name; null if there is none.
    [[nodiscard]] const PreparedShape *prepared(const std::string &name) const;

    [[nodiscard]] const std::map<std::string, std::string> &values() const noexcept
    {
        return values_;
    }

    /// Returns the log position of the session's last acknowledged commit.
    [[nodiscard]] const std::optional<LogPosition> &lastCommit() const noexcept
    {
        return lastCommit_;
    }

private:
    [[nodiscard]] StatementDisposition handleOutsideTransaction(const SessionStatement &statement, CallerReply &reply);
    [[nodiscard]] StatementDisposition handleInTransaction(const SessionStatement &statement, CallerReply &reply);
    [[nodiscard]] StatementDisposition handleAfterFailure(const SessionStatement &statement, CallerReply &reply);
    [[nodiscard]] StatementDisposition refuse(CallerReply &reply, ErrorKind kind, std::string description);
    [[nodiscard]] StatementDisposition handleSetup(const SessionStatement &statement, CallerReply &reply);
    void endTransaction() noexcept;

    DatabaseName database_;
    customers::CallerIdentity identity_;
    std::map<std::string, std::string> values_;
    std::map<std::string, PreparedShape> prepared_;
    TransactionPhase phase_ = TransactionPhase::None;
    /// Only meaningful inside a transaction.
    bool readOnly_ = false;
    bool wrote_ = false;
    std::optional<LogPosition> lastCommit_;
};

} // namespace cardamomstep::relay
