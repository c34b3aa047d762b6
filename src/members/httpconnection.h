// Links to a member over HTTP/JSON: the only place that knows the members' wire form.
#pragma once

#include "base/random.h"
#include "members/member.h"

#include <memory>
#include <string>

namespace cardamomstep {

/// Who this process is, as members are told with every request.
struct LinkIdentity {
    InstanceName instance;
    FailureDomain domain;
};

/// Carries reports and orders; models ControlLink.
///
/// One call at a time. A failed link connects anew on its next call.
class HttpControlLink
{
public:
    HttpControlLink(const Address &remote, const LinkIdentity &identity);
    HttpControlLink(HttpControlLink &&) noexcept;
    HttpControlLink &operator=(HttpControlLink &&) noexcept;
    ~HttpControlLink();

    /// The member's report as it is now.
    [[nodiscard]] LinkResult<MemberReport> report(Milliseconds timeout);

    /// The member's report once it differs from \a seen, or after \a wait; \a timeout is on top of \a wait.
    [[nodiscard]] LinkResult<MemberReport> reportAfter(const MemberReport &seen, Milliseconds wait, Milliseconds timeout);

    /// Tells the member to adopt \a term.
    [[nodiscard]] LinkResult<TermReply> adopt(Term term, Milliseconds timeout);

    /// Tells the member to lead at \a term, which it must have adopted.
    [[nodiscard]] LinkResult<TermReply> lead(Term term, Milliseconds timeout);

    /// Tells the member to replicate from \a primary at \a address in \a term.
    [[nodiscard]] LinkResult<TermReply> follow(Term term, const MemberName &primary, const Address &address, Milliseconds timeout);

    /// Asks whether the request \a id stands in the member's log.
    [[nodiscard]] LinkResult<OutcomeReply> outcome(const RequestId &id, Milliseconds timeout);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// Carries statements over one database connection; models StatementLink.
class HttpStatementLink
{
public:
    HttpStatementLink(const Address &remote, const LinkIdentity &identity);
    HttpStatementLink(HttpStatementLink &&) noexcept;
    HttpStatementLink &operator=(HttpStatementLink &&) noexcept;
    ~HttpStatementLink();

    /// Opens the database connection; the failure is LinkFault::NoConnection at the member's limit.
    [[nodiscard]] LinkResult<Success> open(Milliseconds timeout);

    /// True until the first failure.
    [[nodiscard]] bool isOpen() const noexcept;

    /// Notices when the member has closed the idle connection, for example by a restart; returns isOpen().
    bool checkOpen() noexcept;

    [[nodiscard]] LinkResult<MemberReply> execute(const MemberCall &call, Milliseconds timeout);
    [[nodiscard]] LinkResult<MemberReply> begin(const MemberCall &call, Milliseconds timeout);
    [[nodiscard]] LinkResult<MemberReply> commit(const MemberCall &call, Milliseconds timeout);
    [[nodiscard]] LinkResult<MemberReply> rollback(const MemberCall &call, Milliseconds timeout);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

static_assert(ControlLink<HttpControlLink>);
static_assert(StatementLink<HttpStatementLink>);

} // namespace cardamomstep
