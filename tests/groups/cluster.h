// Deterministic simulation of one group's members and several monitors in virtual time, with a check of acknowledged writes.
#pragma once

#include "base/random.h"
#include "groups/monitor.h"
#include "groups/quorumstate.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cardamomstep::testing {

struct ClusterOptions {
    std::uint64_t seed = 1;
    unsigned members = 3;
    /// Rank of each proxy.
    std::vector<unsigned> ranks{0, 1, 2};
    Microseconds delay{3500};
    Microseconds jitter{500};
    /// Lost messages per thousand.
    unsigned loss = 0;
    bool writes = true;
    GroupPolicy policy;
};

struct Entry {
    Term term;
    std::uint64_t id = 0;
    [[nodiscard]] bool operator==(const Entry &) const = default;
};

/// A member that follows the rules of docs/design/member.md.
struct SimMember {
    MemberName name;
    bool up = true;
    /// True when the whole host is down, so that connections time out instead of being refused.
    bool hostDown = false;
    bool frozen = false;
    bool leaving = false;
    MemberRole role = MemberRole::Replica;
    Term adopted;
    std::vector<Entry> log;
    /// Index of the member it pulls from; -1 for none.
    int following = -1;
    /// Additional delay of each pull.
    Microseconds lag{0};
    /// Counts the ends of the process; a reply to a request from before the last one is dropped.
    unsigned generation = 0;
    /// Number of the current series of pulls; pulls with another number have no effect.
    unsigned pulls = 0;
    /// Work that runs once the frozen member wakes.
    std::vector<std::function<void()>> backlog;
    /// Called once, at the next change of the member's state.
    std::vector<std::function<void()>> watchers;
    /// Called when the process ends while its host stays up: the open connections are closed.
    std::vector<std::function<void()>> closeHandlers;

    [[nodiscard]] LogPosition position() const
    {
        return log.empty() ? LogPosition{} : LogPosition{log.back().term, log.size()};
    }
    [[nodiscard]] MemberReport report() const
    {
        return {name, role, adopted, position(), leaving};
    }
};

struct WriteReply {
    bool accepted = false;
    LogPosition position;
    Term adopted;
};

struct PendingWrite {
    std::uint64_t id = 0;
    LogPosition position;
    TimePoint appendedAt;
};

struct SimProxy {
    bool alive = true;
    std::unique_ptr<GroupMonitor> monitor;
    std::unique_ptr<AckTracker> tracker;
    std::vector<PendingWrite> pending;
    std::map<int, MemberReport> lastReports;
    /// Members whose connection is closed; the next call to them opens one.
    std::set<int> closedConnections;
    /// Number of the scheduled tick; earlier ones have no effect.
    std::uint64_t tickNumber = 0;
    /// Writes are paused until then.
    TimePoint writesPausedUntil;
};

struct AckedWrite {
    std::uint64_t id = 0;
    LogPosition position;
    TimePoint appendedAt;
    TimePoint ackedAt;
};

class Cluster
{
public:
    explicit Cluster(const ClusterOptions &options = {});
    Cluster(const Cluster &) = delete;
    Cluster &operator=(const Cluster &) = delete;

    void run(Milliseconds span);
    /// Runs until a live proxy has a confirmed primary with a term number above \a above; false when \a limit passes first.
    bool runUntilConfirmed(std::uint64_t above, Milliseconds limit);

    void kill(int member, bool host = false);
    void restart(int member);
    void freeze(int member);
    void wake(int member);
    void killProxy(int proxy);
    void cutMembers(int left, int right);
    void cutProxy(int proxy, int member);
    void cutProxies(int left, int right);
    void heal();
    /// Ends all simulated network faults, wakes and restarts all members, and runs for \a span.
    void recoverAll(Milliseconds span = Milliseconds{4000});
    void setLeaving(int member, bool leaving);
    /// Ends the leaving of all members.
    void clearLeaving();
    void requestSwitchover(const MemberName &member);
    /// Appends \a count entries of \a term to the member's log.
    void append(int member, const Term &term, std::uint64_t count);

    /// Index of the first live proxy's primary; -1 for none.
    [[nodiscard]] int primary() const;
    [[nodiscard]] Term term() const;
    [[nodiscard]] std::size_t count(AuditEventKind kind) const;
    /// Number of terms at which a member became primary.
    [[nodiscard]] std::size_t promotions() const;
    /// Number of acknowledged writes that were appended at \a since or later and at \a term.
    [[nodiscard]] std::size_t ackedSince(TimePoint since, const Term &term) const;
    /// Returns an empty text or the first problem found: a safety violation, no primary, a lost acknowledged write, or an acknowledged
    /// write that was appended by a superseded primary.
    [[nodiscard]] std::string findViolation();

    std::vector<SimMember> members;
    std::vector<SimProxy> proxies;
    std::vector<AckedWrite> acked;
    std::vector<std::pair<TimePoint, GroupAction>> events;
    /// Called before each action; false discards the action, for example because the proxy was killed.
    std::function<bool(int proxy, const GroupAction &)> beforeAction;
    TimePoint now{Microseconds{1'000'000}};
    /// For each term, when a majority first had adopted it or a higher one.
    std::map<Term, TimePoint> majorityAdoptedAt;
    std::set<Term> ledTerms;
    std::string safetyViolation;

private:
    struct Event {
        TimePoint when;
        std::uint64_t number;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return std::pair(when, number) > std::pair(other.when, other.number);
        }
    };

    void at(TimePoint when, std::function<void()> action);
    bool isDelivered(int from, int to);
    Microseconds delay();
    void send(int from, int to, std::function<void()> action);
    /// Number of a member in the simulated network, where the proxies come first.
    [[nodiscard]] int node(int member) const;
    void runWhenAwake(int member, std::function<void()> action);
    void onChanged(int member);

    template<typename Reply>
    void call(int proxy,
              int member,
              Milliseconds timeout,
              std::function<void(std::function<void(Reply)>)> serve,
              std::function<void(ConnectionResult<Reply>)> done);
    void perform(int proxy, GroupActions actions);
    void performOne(int proxy, const GroupAction &action);
    void order(int proxy, int member, OrderKind kind, const Term &term, int primary, Milliseconds timeout);
    TermReply serveOrder(int member, OrderKind kind, const Term &term, int primary);
    void serveReport(int member, const MemberReport &lastReport, Milliseconds wait, std::function<void(MemberReport)> reply);
    void
    waitForChange(int member, const MemberReport &lastReport, const std::shared_ptr<bool> &replied, const std::function<void()> &sendReply);
    void pull(int member, unsigned number);
    void applyReport(int proxy, const MemberReport &report);
    void checkPending(int proxy);
    void schedule(int proxy);
    void write(int proxy);
    void publishObservation(int proxy, bool repeat);
    [[nodiscard]] int indexOf(const MemberName &name) const;

    ClusterOptions options_;
    Random random_;
    std::priority_queue<Event> queue_;
    std::uint64_t eventNumber_ = 0;
    std::uint64_t nextId_ = 1;
    std::set<std::pair<int, int>> cuts_;
    std::map<std::uint64_t, TimePoint> appendedAt_;
    std::set<Term> adoptedTerms_;
};

} // namespace cardamomstep::testing
