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

/// Settings of a member.
struct MemberOptions {
    std::string name;
    std::string domain;
    Address listen;
    unsigned slots = 3;
    unsigned connections = 40;
    /// Time to open a database connection.
    Milliseconds openTime{12};
    /// Time that each statement holds its slot.
    Microseconds serviceTime{0};
    /// File that keeps the state over restarts; empty for none.
    std::string stateFile;
};

/// One member; serves until the process ends.
class Member
{
public:
    explicit Member(MemberOptions options);

    /// Returns only when the address cannot be bound.
    void run();

private:
    [[nodiscard]] Service service();
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
    void noteWork();

    [[nodiscard]] nlohmann::json reportLocked() const;
    [[nodiscard]] bool differsLocked(const http::Request &request) const;

    void replicate();
    void follow(const Primary &primary, const Term &term);
    [[nodiscard]] bool follows(const Primary &primary, const Term &term) const;
    void pullOnce(http::Connection &connection, const Primary &primary, const Term &term, std::uint64_t &cursor);
    void take(const nlohmann::json &answer, const Term &term, std::uint64_t &cursor);
    [[nodiscard]] bool waitUntilDue(std::int64_t due, const Term &term);

    MemberOptions options_;
    Faults faults_;
    Places slots_;
    Places connections_;
    std::mutex mutex_;
    /// Told at each change of the state or the faults.
    std::condition_variable changed_;
    MemberState state_;
    std::set<ConnectionNumber> open_;
    std::uint64_t refusedOpens_ = 0;
    std::uint64_t workWhileLeaving_ = 0;
    /// When leaving was ordered and when work last came after that, on the steady clock; 0 for never.
    std::int64_t leavingSince_ = 0;
    std::int64_t lastWorkWhileLeaving_ = 0;
};

} // namespace cardamomstep::standins
