// Connections to a member over HTTP/JSON; encapsulates the members' wire format.
#pragma once

#include "base/random.h"
#include "members/member.h"

#include <memory>
#include <string>

namespace cardamomstep {

/// The identity of this process, sent to members with every request.
struct ConnectionIdentity {
    InstanceName instance;
    FailureDomain domain;
};

/// Carries reports and orders; models ControlConnection.
///
/// One call at a time. After a failure, the next call connects again.
class HttpControlConnection
{
public:
    HttpControlConnection(const Address &remote, const ConnectionIdentity &identity);
    HttpControlConnection(HttpControlConnection &&) noexcept;
    HttpControlConnection &operator=(HttpControlConnection &&) noexcept;
    ~HttpControlConnection();

    /// Returns the member's current report.
    [[nodiscard]] ConnectionResult<MemberReport> report(Milliseconds timeout);

    /// Returns the member's report once it differs from \a lastReport, or after \a wait; \a timeout is added to \a wait.
    [[nodiscard]] ConnectionResult<MemberReport> reportAfter(const MemberReport &lastReport, Milliseconds wait, Milliseconds timeout);

    /// Orders the member to adopt \a term.
    [[nodiscard]] ConnectionResult<TermReply> adopt(Term term, Milliseconds timeout);

    /// Orders the member to lead at \a term, which it must have adopted.
    [[nodiscard]] ConnectionResult<TermReply> lead(Term term, Milliseconds timeout);

    /// Orders the member to follow \a primary, which listens at \a address, at \a term.
    [[nodiscard]] ConnectionResult<TermReply> follow(Term term, const MemberName &primary, const Address &address, Milliseconds timeout);

    /// Queries whether the request \a id is in the member's log.
    [[nodiscard]] ConnectionResult<OutcomeReply> outcome(const RequestId &id, Milliseconds timeout);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// Carries statements over one database connection; models StatementConnection.
class HttpStatementConnection
{
public:
    HttpStatementConnection(const Address &remote, const ConnectionIdentity &identity);
    HttpStatementConnection(HttpStatementConnection &&) noexcept;
    HttpStatementConnection &operator=(HttpStatementConnection &&) noexcept;
    ~HttpStatementConnection();

    /// Opens the database connection; the fault is ConnectionFault::NoConnection if the member is at its connection limit.
    [[nodiscard]] ConnectionResult<Success> open(Milliseconds timeout);

    /// Returns true from a successful open() until the first failure.
    [[nodiscard]] bool isOpen() const noexcept;

    /// Detects whether the member has closed the idle connection, for example by a restart; returns isOpen().
    bool checkOpen() noexcept;

    [[nodiscard]] ConnectionResult<MemberReply> execute(const MemberCall &call, Milliseconds timeout);
    [[nodiscard]] ConnectionResult<MemberReply> begin(const MemberCall &call, Milliseconds timeout);
    [[nodiscard]] ConnectionResult<MemberReply> commit(const MemberCall &call, Milliseconds timeout);
    [[nodiscard]] ConnectionResult<MemberReply> rollback(const MemberCall &call, Milliseconds timeout);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

static_assert(ControlConnection<HttpControlConnection>);
static_assert(StatementConnection<HttpStatementConnection>);

} // namespace cardamomstep
