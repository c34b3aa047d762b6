// Links to a member over HTTP/JSON: the only place that knows the members' wire form.
#pragma once

#include "base/random.h"
#include "members/member.h"

#include <memory>
#include <string>

namespace cardamomstep {

/// Who this process is, as members are told with every request.
struct ConnectionIdentity {
    InstanceName instance;
    FailureDomain domain;
};

/// Carries reports and orders; models ControlLink.
///
/// One call at a time. A failed link connects anew on its next call.
class HttpControlConnection
{
public:
    HttpControlConnection(const Address &remote, const ConnectionIdentity &identity);
    HttpControlConnection(HttpControlConnection &&) noexcept;
    HttpControlConnection &operator=(HttpControlConnection &&) noexcept;
    ~HttpControlConnection();

    /// The member's report as it is now.
    [[nodiscard]] ConnectionResult<MemberReport> report(Milliseconds timeout);

    /// The member's report once it differs from \a seen, or after \a wait; \a timeout is on top of \a wait.
    [[nodiscard]] ConnectionResult<MemberReport> reportAfter(const MemberReport &seen, Milliseconds wait, Milliseconds timeout);

    /// Tells the member to adopt \a term.
    [[nodiscard]] ConnectionResult<TermReply> adopt(Term term, Milliseconds timeout);

    /// Tells the member to lead at \a term, which it must have adopted.
    [[nodiscard]] ConnectionResult<TermReply> lead(Term term, Milliseconds timeout);

    /// Tells the member to replicate from \a primary at \a address in \a term.
    [[nodiscard]] ConnectionResult<TermReply> follow(Term term, const MemberName &primary, const Address &address, Milliseconds timeout);

    /// Asks whether the request \a id stands in the member's log.
    [[nodiscard]] ConnectionResult<OutcomeReply> outcome(const RequestId &id, Milliseconds timeout);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// Carries statements over one database connection; models StatementLink.
class HttpStatementConnection
{
public:
    HttpStatementConnection(const Address &remote, const ConnectionIdentity &identity);
    HttpStatementConnection(HttpStatementConnection &&) noexcept;
    HttpStatementConnection &operator=(HttpStatementConnection &&) noexcept;
    ~HttpStatementConnection();

    /// Opens the database connection; the failure is LinkFault::NoConnection at the member's limit.
    [[nodiscard]] ConnectionResult<Success> open(Milliseconds timeout);

    /// True until the first failure.
    [[nodiscard]] bool isOpen() const noexcept;

    /// Notices when the member has closed the idle connection, for example by a restart; returns isOpen().
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
