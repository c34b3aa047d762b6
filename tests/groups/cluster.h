// A deterministic model of one group's members and several monitors in virtual time, with a checker of acknowledged writes.
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
    /// One proxy for each rank given.
    std::vector<unsigned> ranks{0, 1, 2};
    Microseconds delay{3500};
    Microseconds jitter{500};
    /// Lost messages in a thousand.
    unsigned loss = 0;
    bool writes = true;
    GroupPolicy policy;
};

struct Entry {
    Term term;
    std::uint64_t id = 0;
    [[nodiscard]] bool operator==(const Entry &) const = default;
};

/// A member that keeps the rules of docs/design/member.md.
struct SimMember {
    MemberName name;
    bool up = true;
    /// True when the whole host is gone, so that nothing refuses connections.
    bool hostDown = false;
    bool frozen = false;
    bool leaving = false;
    MemberRole role = MemberRole::Replica;
    Term adopted;
    std::vector<Entry> log;
    /// Index of the member it pulls from; -1 for none.
    int following = -1;
    /// Added to each pull.
    Microseconds lag{0};
    unsigned generation = 0;
    unsigned pulls = 0;
    std::vector<std::function<void()>> backlog;
    std::vector<std::function<void()>> watchers;
    std::vector<std::function<void()>> breakers;

    [[nodiscard]] Mark mark() const
    {
        return log.empty() ? Mark{} : Mark{log.back().term, log.size()};
    }
    [[nodiscard]] MemberReport report() const
    {
        return {name, role, adopted, mark(), leaving};
    }
};

struct WriteReply {
    bool accepted = false;
    Mark mark;
    Term adopted;
};

struct PendingWrite {
    std::uint64_t id = 0;
    Mark mark;
    TimePoint appendedAt;
};

struct SimProxy {
    bool alive = true;
    std::unique_ptr<GroupMonitor> monitor;
    std::unique_ptr<AckTracker> tracker;
    std::vector<PendingWrite> pending;
    std::map<int, MemberReport> seen;
    std::set<int> freshConnections;
    std::uint64_t tickNumber = 0;
    /// Writes wait until then.
    TimePoint heldUntil;
};

struct AckedWrite {
    std::uint64_t id = 0;
    Mark mark;
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
    /// Runs until a primary above \a above is confirmed by a living proxy; false when \a limit passed first.
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
    /// Heals everything, restarts everyone and lets the group come to rest.
    void settle(Milliseconds span = Milliseconds{4000});
    void setLeaving(int member, bool leaving);
    /// No member leaves any more.
    void stay();
    void requestSwitchover(const MemberName &member);
    void append(int member, const Term &term, std::uint64_t count);

    /// Index of the member that the first living proxy takes for primary; -1 for none.
    [[nodiscard]] int primary() const;
    [[nodiscard]] Term term() const;
    [[nodiscard]] std::size_t count(NoteKind kind) const;
    [[nodiscard]] std::size_t promotions() const;
    [[nodiscard]] std::size_t ackedSince(TimePoint since, const Term &term) const;
    /// An empty text, or what is wrong: a lost acknowledged write, or one by a superseded primary.
    [[nodiscard]] std::string fault();

    std::vector<SimMember> members;
    std::vector<SimProxy> proxies;
    std::vector<AckedWrite> acked;
    std::vector<std::pair<TimePoint, GroupAction>> events;
    /// Called before each action is performed; false drops it, for example because the proxy was killed.
    std::function<bool(int proxy, const GroupAction &)> beforeAction;
    TimePoint now{Microseconds{1'000'000}};
    /// When a majority had adopted a term or a higher one.
    std::map<Term, TimePoint> majorityAdoptedAt;
    std::set<Term> ledTerms;
    std::string safetyFault;

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
    bool passes(int from, int to);
    Microseconds delay();
    void send(int from, int to, std::function<void()> action);
    [[nodiscard]] int node(int member) const;
    void awake(int member, std::function<void()> action);
    void changed(int member);

    template<typename Reply>
    void call(int proxy,
              int member,
              Milliseconds timeout,
              std::function<void(std::function<void(Reply)>)> serve,
              std::function<void(LinkResult<Reply>)> done);
    void perform(int proxy, GroupActions actions);
    void performOne(int proxy, const GroupAction &action);
    void order(int proxy, int member, OrderKind kind, const Term &term, int primary, Milliseconds timeout);
    TermReply serveOrder(int member, OrderKind kind, const Term &term, int primary);
    void serveReport(int member, const MemberReport &seen, Milliseconds wait, std::function<void(MemberReport)> reply);
    void watch(int member, const MemberReport &seen, const std::shared_ptr<bool> &answered, const std::function<void()> &answer);
    void pull(int member, unsigned number);
    void learn(int proxy, const MemberReport &report);
    void checkPending(int proxy);
    void schedule(int proxy);
    void write(int proxy);
    void gossip(int proxy, bool repeat);
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
