// What belongs to one caller's session: its values, its prepared names, its transaction and its own last commit.
#pragma once

#include "base/ids.h"
#include "base/logposition.h"
#include "base/time.h"
#include "relay/message.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace cardamomstep::relay {

/// A statement that was prepared: what it does, without its name.
struct PreparedShape {
    Access access = Access::Read;
    std::string shape;

    [[nodiscard]] auto operator<=>(const PreparedShape &) const = default;
};

/// The name under which \a shape is prepared at members; the same for all sessions, so that they share it.
[[nodiscard]] std::string memberName(const PreparedShape &shape);

/// True for statements that only change what the session keeps; no member runs them.
[[nodiscard]] bool setsUpSession(StatementKind kind) noexcept;

/// How far a transaction has come.
enum class TransactionPhase : std::uint8_t {
    None,
    Announced, ///< The caller began it; no member knows of it yet.
    Open, ///< It is open at a member, on the session's link.
    Failed, ///< It was rolled back and the caller was told; it has not ended it yet.
    Lost, ///< It was rolled back while the caller rested; the caller has not been told yet.
};

/// What a statement needs of this process.
enum class StatementNeed : std::uint8_t {
    Answered, ///< The session answered it itself.
    Forward, ///< It goes to a member.
    EndAtMember, ///< A rollback: the caller is answered, the member's transaction is to be rolled back.
};

/// One caller's session as a state machine; it answers what needs no member.
class CallerSession
{
public:
    explicit CallerSession(DatabaseName database)
        : database_(std::move(database))
    {
    }

    [[nodiscard]] const DatabaseName &database() const noexcept
    {
        return database_;
    }

    /// Takes in a statement; \a reply is filled when the result is not StatementNeed::Forward.
    [[nodiscard]] StatementNeed take(const SessionStatement &statement, CallerReply &reply);

    /// Takes in that the transaction is open at a member.
    void opened() noexcept
    {
        phase_ = TransactionPhase::Open;
    }

    /// Takes in a member's success for a forwarded \a statement; \a position is its log position.
    void succeeded(const SessionStatement &statement, const std::optional<Mark> &position);

    /// Takes in that a forwarded \a statement was not answered with success; the state afterwards is state().
    void failed(const SessionStatement &statement) noexcept;

    /// Takes in that the open transaction was rolled back while no statement was under way.
    void lost() noexcept
    {
        phase_ = TransactionPhase::Lost;
    }

    /// The state to tell the caller.
    [[nodiscard]] SessionState state() const noexcept;

    [[nodiscard]] TransactionPhase phase() const noexcept
    {
        return phase_;
    }

    /// True when the transaction was announced as one that only reads.
    [[nodiscard]] bool readOnlyTransaction() const noexcept
    {
        return readOnly_;
    }

    /// True when the open transaction has written.
    [[nodiscard]] bool wrote() const noexcept
    {
        return wrote_;
    }

    /// Whether \a statement writes; Execute counts as what was prepared.
    [[nodiscard]] bool writes(const SessionStatement &statement) const;

    /// What the name of an Execute stands for; null when the name is not known.
    [[nodiscard]] const PreparedShape *prepared(const std::string &name) const;

    [[nodiscard]] const std::map<std::string, std::string> &values() const noexcept
    {
        return values_;
    }

    /// Position of the session's own last acknowledged commit.
    [[nodiscard]] const std::optional<Mark> &lastCommit() const noexcept
    {
        return lastCommit_;
    }

private:
    [[nodiscard]] StatementNeed takeOutside(const SessionStatement &statement, CallerReply &reply);
    [[nodiscard]] StatementNeed takeInside(const SessionStatement &statement, CallerReply &reply);
    [[nodiscard]] StatementNeed takeAfterFailure(const SessionStatement &statement, CallerReply &reply);
    [[nodiscard]] StatementNeed refuse(CallerReply &reply, ErrorKind kind, std::string description);
    [[nodiscard]] StatementNeed takeLocal(const SessionStatement &statement, CallerReply &reply);
    void end() noexcept;

    DatabaseName database_;
    std::map<std::string, std::string> values_;
    std::map<std::string, PreparedShape> prepared_;
    TransactionPhase phase_ = TransactionPhase::None;
    /// Meaningless outside a transaction.
    bool readOnly_ = false;
    bool wrote_ = false;
    std::optional<Mark> lastCommit_;
};

} // namespace cardamomstep::relay
