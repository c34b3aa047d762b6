// A stand-in member of a database group: its HTTP interface, connections, slots and replication.
#pragma once

#include "base/time.h"
#include "faults.h"
#include "http/fwd.h"
#include "memberstate.h"
#include "server.h"
#include "slotpool.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace cardamomstep::standins {

/// Options of a member.
struct MemberOptions {
    std::string name;
    std::string domain;
    Address listen;
    /// Maximum number of statements that run concurrently.
    unsigned slots = 3;
    /// Maximum number of database connections.
    unsigned connections = 40;
    /// Time to open a database connection.
    Milliseconds openTime{12};
    /// Time that each statement occupies its slot.
    Microseconds serviceTime{0};
    /// File that preserves the state across restarts; empty for none.
    std::string stateFile;
};

/// One member; serves requests until the process ends.
class Member
{
public:
    explicit Member(MemberOptions options);

    /// Serves requests; returns only if the address cannot be bound.
    void run();

private:
    [[nodiscard]] ServerHandlers makeHandlers();
    [[nodiscard]] Reply handle(ConnectionNumber connection, const http::Request &request);
    [[nodiscard]] Reply report(const http::Request &request);
    [[nodiscard]] Reply order(const http::Request &request);
    [[nodiscard]] Reply outcome(const http::Request &request);
    [[nodiscard]] Reply open(ConnectionNumber connection);
    [[nodiscard]] Reply statement(ConnectionNumber connection, const http::Request &request);
    [[nodiscard]] CallResult runCall(const std::string &path, const Call &call, ConnectionNumber connection);
    [[nodiscard]] Reply pullLog(const http::Request &request);
    void closed(ConnectionNumber connection);
    void addState(nlohmann::json &state);
    void recordWork();

    /// Returns the report; requires that mutex_ is held.
    [[nodiscard]] nlohmann::json reportLocked() const;
    /// Returns whether the report differs from the one that \a request states as known; requires that mutex_ is held.
    [[nodiscard]] bool differsLocked(const http::Request &request) const;

    void replicate();
    void follow(const Primary &primary, const Term &term);
    [[nodiscard]] bool follows(const Primary &primary, const Term &term) const;
    /// Pulls once from \a primary and applies the entries.
    ///
    /// \a cursor is the index up to which the log is assumed to match the primary's; a mismatch moves it back.
    void pullOnce(http::Connection &connection, const Primary &primary, const Term &term, std::uint64_t &cursor);
    void applyEntries(const nlohmann::json &reply, const Term &term, std::uint64_t &cursor);
    [[nodiscard]] bool waitUntilDue(std::int64_t dueAt, const Term &term);

    MemberOptions options_;
    Faults faults_;
    SlotPool slots_;
    SlotPool connections_;
    std::mutex mutex_;
    /// Notified after each change of the state or the faults.
    std::condition_variable changed_;
    MemberState state_;
    /// TCP connections on which a database connection is open.
    std::set<ConnectionNumber> openConnections_;
    std::uint64_t refusedOpens_ = 0;
    std::uint64_t workWhileLeaving_ = 0;
    /// Start of the leaving fault, and arrival of the latest new work during it, in microseconds of the steady clock; 0 for never.
    std::int64_t leavingSince_ = 0;
    std::int64_t lastWorkWhileLeaving_ = 0;
};

} // namespace cardamomstep::standins
