// Drives an engine in virtual time: callers' statements, members' replies and the engine's actions.
#pragma once

#include "relay/engine.h"

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace cardamomstep::relay {

inline TimePoint at(std::int64_t milliseconds)
{
    return TimePoint{Milliseconds{1'000'000 + milliseconds}};
}

inline LogPosition position(std::uint64_t term, std::uint64_t number)
{
    return LogPosition{Term{term, 0}, number};
}

/// Configuration of the group under test.
struct DriverOptions {
    std::uint32_t memberConnections = 16;
    /// Number of proxies with a pool for the members, the driven one included.
    std::uint32_t poolCount = 1;
    Consistency consistency = Consistency::ReadYourWrites;
    EngineLimits limits;
};

/// One group "g" with primary "p" and replicas "r1" and "r2", which serves the database "db".
class RelayDriver
{
public:
    explicit RelayDriver(const DriverOptions &options = {})
        : engine(FailureDomain{"a"}, 7, options.limits)
    {
        Configuration configuration;
        configuration.version = 1;
        Route route;
        route.database = DatabaseName{"db"};
        route.group = GroupName{"g"};
        route.consistency = options.consistency;
        route.maxStaleness = Milliseconds{2000};
        route.statementTimeout = Milliseconds{800};
        configuration.routes.push_back(route);
        configuration.groups.push_back({GroupName{"g"}, options.memberConnections, 1});
        engine.configure(configuration, now);
        engine.setPoolCount(GroupName{"g"}, options.poolCount);
        directory.replaceAll({member("p", "a", true), member("r1", "b", false), member("r2", "c", false)}, now, now);
        engine.setMembers(directory, now);
        setGroupPrimary("p", 1);
        performActions();
    }

    static MemberEntry member(const std::string &name, const std::string &domain, bool primary)
    {
        MemberEntry entry;
        entry.name = MemberName{name};
        entry.group = GroupName{"g"};
        entry.address = Address{"127.0.0.1:1"};
        entry.failureDomain = FailureDomain{domain};
        entry.claimsPrimary = primary;
        entry.startedAt = 1;
        return entry;
    }

    void setGroupPrimary(const std::string &primary, std::uint64_t generation, bool changeInProgress = false)
    {
        engine.setPrimary(GroupName{"g"}, {MemberName{primary}, generation, TimePoint::max(), changeInProgress}, now);
    }

    /// Performs the pending actions; connections open at once, or are refused if openRefusal is set.
    void performActions()
    {
        for (auto actions = engine.takeActions(); !actions.empty(); actions = engine.takeActions()) {
            for (auto &action : actions) {
                perform(action);
            }
        }
    }

    void open(CallerKey caller)
    {
        opened = static_cast<bool>(engine.callerOpened(caller, DatabaseName{"db"}, {}, now));
        performActions();
    }

    void submit(CallerKey caller, StatementKind kind, const std::string &name = {}, const std::string &argument = {})
    {
        SessionStatement statement;
        statement.id = "id" + std::to_string(++statementCount);
        statement.kind = kind;
        statement.name = name;
        statement.argument = argument;
        statement.text = "text" + std::to_string(statementCount);
        if (kind == StatementKind::Commit) {
            commits.insert(statement.id);
        }
        engine.callerStatement(caller, statement, now);
        performActions();
    }

    void advance(std::int64_t milliseconds)
    {
        const auto end = now + Milliseconds{milliseconds};
        while (now < end) {
            now = std::min<TimePoint>(end, now + Milliseconds{10});
            engine.wake(now);
            performActions();
        }
    }

    /// Replies to the oldest pending request, with the state that the connection has then.
    void replyToOldest(std::optional<MemberFault> fault = std::nullopt, LogPosition logPosition = position(1, 10))
    {
        const auto [connectionKey, request] = requests.front();
        requests.erase(requests.begin());
        MemberReply reply;
        reply.position = logPosition;
        reply.fault = fault;
        if (isForwarded(request) && !fault) {
            reply.signature = "signed";
        }
        if (!fault && (request.verb == MemberVerb::Begin || request.verb == MemberVerb::BeginReadOnly)) {
            inTransaction.insert(connectionKey);
        } else if (commits.contains(request.id) || (!fault && request.verb == MemberVerb::Rollback)) {
            inTransaction.erase(connectionKey);
        }
        reply.state = inTransaction.contains(connectionKey) ? SessionState::InTransaction : SessionState::Idle;
        engine.connectionReplied(connectionKey, reply, now);
        performActions();
    }

    static bool isForwarded(const MemberRequest &request)
    {
        return request.verb == MemberVerb::Forward || request.verb == MemberVerb::ExecutePrepared;
    }

    /// Replies to the oldest pending requests, up to and including the next forwarded statement.
    void replyNext(std::optional<MemberFault> fault = std::nullopt, LogPosition logPosition = position(1, 10))
    {
        while (!requests.empty()) {
            const bool forwarded = isForwarded(requests.front().second);
            replyToOldest(forwarded ? fault : std::nullopt, logPosition);
            if (forwarded) {
                return;
            }
        }
    }

    /// Returns the member that the last forwarded statement was sent to.
    [[nodiscard]] std::string lastMember() const
    {
        return statementTargets.empty() ? "" : statementTargets.back();
    }

    [[nodiscard]] const CallerReply *lastReply(CallerKey caller) const
    {
        for (auto reply = replies.rbegin(); reply != replies.rend(); ++reply) {
            if (reply->first == caller) {
                return &reply->second;
            }
        }
        return nullptr;
    }

    TimePoint now = at(0);
    Engine engine;
    MemberDirectory directory;
    /// The last open() created a session.
    bool opened = false;
    int statementCount = 0;
    /// If set, members refuse new connections with this fault.
    std::optional<MemberFault> openRefusal;
    std::vector<OpenMemberConnection> opens;
    /// Requests without a reply yet, oldest first.
    std::vector<std::pair<MemberConnectionKey, MemberRequest>> requests;
    /// Connections with an open transaction, and the ids of the commits.
    std::set<MemberConnectionKey> inTransaction;
    std::set<std::string> commits;
    /// The member that each statement was sent to, in order.
    std::vector<std::string> statementTargets;
    std::vector<std::pair<CallerKey, CallerReply>> replies;
    std::vector<LogDecision> decisions;
    std::vector<CallerKey> closedCallers;
    std::vector<MemberConnectionKey> closedConnections;

private:
    void perform(Action &action)
    {
        if (const auto *open = std::get_if<OpenMemberConnection>(&action)) {
            opens.push_back(*open);
            if (openRefusal) {
                engine.connectionClosed(open->connection, openRefusal, now);
            } else {
                engine.connectionOpened(open->connection, position(1, 1), now);
            }
        } else if (auto *send = std::get_if<SendToMember>(&action)) {
            for (const auto &request : send->requests) {
                requests.emplace_back(send->connection, request);
                if (!request.id.empty()) {
                    statementTargets.push_back(memberOf(send->connection));
                }
            }
        } else if (auto *reply = std::get_if<ReplyToCaller>(&action)) {
            replies.emplace_back(reply->caller, reply->reply);
        } else if (const auto *close = std::get_if<CloseCaller>(&action)) {
            closedCallers.push_back(close->caller);
            engine.callerClosed(close->caller, now);
        } else if (const auto *closed = std::get_if<CloseMemberConnection>(&action)) {
            closedConnections.push_back(closed->connection);
            std::erase_if(requests, [closed](const auto &request) { return request.first == closed->connection; });
        } else if (auto *decision = std::get_if<LogDecision>(&action)) {
            decisions.push_back(std::move(*decision));
        }
    }

    [[nodiscard]] std::string memberOf(MemberConnectionKey connectionKey) const
    {
        const auto found =
            std::find_if(opens.begin(), opens.end(), [connectionKey](const auto &open) { return open.connection == connectionKey; });
        return found == opens.end() ? "" : found->member.text();
    }
};

} // namespace cardamomstep::relay
