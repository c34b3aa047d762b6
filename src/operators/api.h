// The operators' HTTP interface: reads and changes records, writes the audit trail, reports status.
#pragma once

#include "operators/answers.h"
#include "operators/change.h"
#include "operators/environment.h"
#include "operators/route.h"
#include "operators/store.h"
#include "records/checks.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

namespace cardamomstep::operators {

/// Settings of an OperatorApi.
struct OperatorOptions {
    /// Bearer token that every request must carry.
    std::string token;
    /// The longest wait until the revision that a request requires is in force at this proxy.
    Milliseconds maxRevisionWait{2000};
    /// The most attempts at a change without `if-match`; each one fails when another change of the record comes first.
    unsigned maxAttempts = 4;
};

/// Answers operators' requests; thread-safe if the store and the environment are.
///
/// A change is accepted when the store confirms its conditional update. Every change is based on a known version, so that the audit
/// trail names both versions. Without `if-match` that is the current version, and the change is retried when another one came first.
///
/// Example:
/// \code
/// OperatorApi api(store, environment, {.token = settings.operators.token});
/// auto server = http::Server::start({.listen = settings.operators.listen}, [&api](const auto &request) { return api.handle(request); });
/// \endcode
template<RecordStore Store, OperatorEnvironment Environment>
class OperatorApi
{
public:
    /// \a store and \a environment must outlive this object.
    OperatorApi(Store &store, Environment &environment, OperatorOptions options)
        : store_(store)
        , environment_(environment)
        , options_(std::move(options))
    {
    }

    /// Answers one request.
    [[nodiscard]] http::Response handle(const http::Request &request)
    {
        if (!isAuthorized(request, options_.token)) {
            return failureAnswer({Error{ErrorKind::Unauthorized, "expected the header \"authorization: Bearer TOKEN\""}});
        }
        const auto route = readRoute(request);
        if (!route) {
            return failureAnswer({route.error()});
        }
        if (!isInForce(route->minRevision)) {
            return failureAnswer(
                {Error{ErrorKind::NotReady, "revision " + std::to_string(route->minRevision) + " is not in force here yet"}.withRetryAfter(
                    options_.maxRevisionWait)});
        }
        return dispatch(*route, request);
    }

private:
    [[nodiscard]] http::Response dispatch(const Route &route, const http::Request &request)
    {
        switch (route.action) {
        case Action::ListRecords:
            return listAnswer(*environment_.catalog(), route.key.kind, request);
        case Action::GetRecord:
            return get(route);
        case Action::PutRecord:
            return put(route, request.body);
        case Action::DeleteRecord:
            return remove(route);
        case Action::Watch:
            return watch(request);
        case Action::History:
            return history(request);
        case Action::Status:
            break;
        }
        return statusAnswer(environment_.self(), *environment_.catalog(), environment_.proxies(), request);
    }

    [[nodiscard]] bool isInForce(std::uint64_t revision)
    {
        if (environment_.catalog()->revision() < revision) {
            environment_.awaitRevision(revision, options_.maxRevisionWait);
        }
        return environment_.catalog()->revision() >= revision;
    }

    [[nodiscard]] http::Response get(const Route &route)
    {
        const auto found = store_.get(route.key);
        if (found) {
            return recordAnswer(*found);
        }
        const auto catalog = environment_.catalog();
        const auto *cached = catalog->find(route.key);
        if (found.error().kind == ErrorKind::StoreUnavailable && cached != nullptr) {
            return cachedRecordAnswer(*cached);
        }
        return failureAnswer({found.error()});
    }

    [[nodiscard]] http::Response put(const Route &route, const std::string &body)
    {
        const auto candidate = readCandidate(route, body);
        if (!candidate) {
            return failureAnswer(candidate.faults());
        }
        for (unsigned attempt = 1;; ++attempt) {
            const auto answer = putOnce(route, *candidate);
            if (answer) {
                return changeAnswer(*answer);
            }
            const bool versionChanged = answer.faults().front().kind == ErrorKind::Conflict && !route.expected;
            if (!versionChanged || attempt >= options_.maxAttempts) {
                return failureAnswer(answer.faults());
            }
        }
    }

    [[nodiscard]] Checked<ChangeAnswer> putOnce(const Route &route, const Record &candidate)
    {
        const auto current = store_.get(route.key);
        if (!current && current.error().kind != ErrorKind::NotFound) {
            return std::vector<Error>{current.error()};
        }
        ChangeAnswer answer;
        answer.fromVersion = current ? current->version : 0;
        if (const auto conflict = checkExpected(route, answer.fromVersion)) {
            return std::vector<Error>{*conflict};
        }
        const ChangeStamp stamp{route.who, environment_.now()};
        const auto *replaced = current ? &*current : nullptr;
        auto proposed = proposeChange(candidate, replaced, *environment_.catalog(), environment_.proxies(), stamp);
        if (!proposed) {
            return proposed.faults();
        }
        answer.toVersion = answer.fromVersion;
        answer.changes = std::move(proposed->changes);
        answer.unknownFields = unknownFieldPaths(proposed->record);
        if (route.dryRun || answer.changes.empty()) {
            return answer;
        }
        const auto version = store_.put(route.key, writeRecord(proposed->record), replaced);
        if (!version) {
            return std::vector<Error>{version.error()};
        }
        answer.written = true;
        answer.toVersion = *version;
        answer.audited = audit(auditRecord(route.key, stamp, answer.fromVersion, answer.toVersion, answer.changes, false));
        return answer;
    }

    [[nodiscard]] http::Response remove(const Route &route)
    {
        const auto current = store_.get(route.key);
        if (!current) {
            return failureAnswer({current.error()});
        }
        if (const auto conflict = checkExpected(route, current->version)) {
            return failureAnswer({*conflict});
        }
        if (!isWrittenByOperators(route.key.kind)) {
            return failureAnswer({Error{ErrorKind::MalformedRequest, "records of this kind are written by the system"}});
        }
        const auto faults = checkRemoval(*environment_.catalog(), route.key);
        if (!faults.empty()) {
            return failureAnswer(faults);
        }
        ChangeAnswer answer;
        answer.fromVersion = current->version;
        const auto before = readRecord(toText(route.key), current->text);
        answer.changes = before ? diffRecords(&*before, nullptr) : std::vector<FieldChange>{};
        if (route.dryRun) {
            return changeAnswer(answer);
        }
        const auto revision = store_.remove(route.key, current->version);
        if (!revision) {
            return failureAnswer({revision.error()});
        }
        answer.written = true;
        answer.toVersion = *revision;
        const ChangeStamp stamp{route.who, environment_.now()};
        answer.audited = audit(auditRecord(route.key, stamp, answer.fromVersion, answer.toVersion, answer.changes, true));
        return changeAnswer(answer);
    }

    [[nodiscard]] http::Response watch(const http::Request &request)
    {
        const auto after = numberParameter(request, "after", 0, {0, UINT64_MAX});
        const auto wait = numberParameter(request, "waitMs", 0, {0, maxWatchMs});
        if (!after || !wait) {
            return failureAnswer({!after ? after.error() : wait.error()});
        }
        if (*wait > 0 && *after > 0 && *after < UINT64_MAX) {
            environment_.awaitRevision(*after + 1, Milliseconds{static_cast<std::int64_t>(*wait)});
        }
        return watchAnswer(*environment_.catalog(), *after);
    }

    [[nodiscard]] http::Response history(const http::Request &request)
    {
        const auto filter = readHistoryFilter(request);
        if (!filter) {
            return failureAnswer({filter.error()});
        }
        const auto entries = store_.list(RecordKind::AuditEntry);
        if (!entries) {
            return failureAnswer({entries.error()});
        }
        return historyAnswer(selectHistory(*entries, *filter));
    }

    /// Writes \a entry to the audit trail; returns true when the store holds it.
    [[nodiscard]] bool audit(const Record &entry)
    {
        const auto key = entry.key();
        auto written = store_.put(key, writeRecord(entry), nullptr);
        if (!written && written.error().kind != ErrorKind::Conflict) {
            written = store_.put(key, writeRecord(entry), nullptr);
        }
        // The entry's name is unique to this change, so a conflict shows that the first attempt took effect.
        const bool present = written || written.error().kind == ErrorKind::Conflict;
        if (present && isTimeToDropEntries(key.name)) {
            dropOldEntries();
        }
        return present;
    }

    void dropOldEntries()
    {
        const auto entries = store_.list(RecordKind::AuditEntry);
        if (!entries) {
            return;
        }
        for (const auto &entry : entriesToDrop(*entries)) {
            static_cast<void>(store_.remove(entry.key, entry.version));
        }
    }

    Store &store_;
    Environment &environment_;
    OperatorOptions options_;
};

} // namespace cardamomstep::operators
