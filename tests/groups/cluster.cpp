// Simulation of members, connections and proxies for the tests of the group monitor.
#include "cluster.h"

#include <algorithm>

namespace cardamomstep::testing {

namespace {

constexpr Milliseconds writeInterval{10};
constexpr Milliseconds writeTimeout{200};
constexpr Milliseconds pullRetry{20};
constexpr Milliseconds pullWait{100};
constexpr Milliseconds observationInterval{100};
/// Entries in one reply to a pull.
constexpr std::size_t pullEntries = 16;

/// Returns the log of a member with the log \a own after it pulled one batch from \a source: the common prefix and the batch.
std::vector<Entry> logAfterPull(const std::vector<Entry> &own, const std::vector<Entry> &source)
{
    const auto shorter = std::min(own.size(), source.size());
    const auto differs = std::mismatch(own.begin(), own.begin() + static_cast<std::ptrdiff_t>(shorter), source.begin());
    const auto common = static_cast<std::size_t>(differs.first - own.begin());
    const auto length = std::min(source.size(), common + pullEntries);
    return {source.begin(), source.begin() + static_cast<std::ptrdiff_t>(length)};
}

} // namespace

Cluster::Cluster(const ClusterOptions &options)
    : members(options.members)
    , proxies(options.ranks.size())
    , options_(options)
    , random_(options.seed)
{
    std::vector<GroupMember> configured;
    std::vector<MemberName> names;
    for (unsigned index = 0; index < options.members; ++index) {
        members[index].name = MemberName{"m" + std::to_string(index)};
        configured.push_back({members[index].name, Address{"10.0.0.1:" + std::to_string(index)}});
        names.push_back(members[index].name);
    }
    for (std::size_t index = 0; index < proxies.size(); ++index) {
        auto &proxy = proxies[index];
        proxy.monitor = std::make_unique<GroupMonitor>(configured, options.ranks[index], options.policy, random_(), now);
        proxy.tracker = std::make_unique<AckTracker>(names);
        const auto number = static_cast<int>(index);
        at(now, [this, number] { perform(number, proxies[number].monitor->tick(now)); });
        at(now + Microseconds{random_.below(10'000)}, [this, number] { write(number); });
        at(now + Microseconds{random_.below(100'000)}, [this, number] { publishObservation(number, true); });
    }
}

void Cluster::at(TimePoint when, std::function<void()> action)
{
    queue_.push(Event{when, eventNumber_++, std::move(action)});
}

void Cluster::run(Milliseconds span)
{
    const auto until = now + span;
    while (!queue_.empty() && queue_.top().when <= until) {
        auto action = queue_.top().action;
        now = queue_.top().when;
        queue_.pop();
        action();
    }
    now = until;
}

bool Cluster::runUntilConfirmed(std::uint64_t above, Milliseconds limit)
{
    for (Milliseconds spent{0}; spent < limit; ++spent) {
        run(Milliseconds{1});
        for (const auto &proxy : proxies) {
            const auto info = proxy.monitor->primary();
            if (proxy.alive && info && info->confirmed && info->term.number > above) {
                return true;
            }
        }
    }
    return false;
}

bool Cluster::isDelivered(int from, int to)
{
    return cuts_.count(std::minmax(from, to)) == 0 && random_.below(1000) >= options_.loss;
}

Microseconds Cluster::delay()
{
    return options_.delay + Microseconds{random_.below(static_cast<std::uint64_t>(options_.jitter.count()) + 1)};
}

void Cluster::send(int from, int to, std::function<void()> action)
{
    if (isDelivered(from, to)) {
        at(now + delay(), std::move(action));
    }
}

int Cluster::node(int member) const
{
    return static_cast<int>(proxies.size()) + member;
}

void Cluster::runWhenAwake(int member, std::function<void()> action)
{
    if (members[member].frozen) {
        members[member].backlog.push_back(std::move(action));
    } else {
        action();
    }
}

void Cluster::onChanged(int member)
{
    auto watchers = std::exchange(members[member].watchers, {});
    for (const auto &watcher : watchers) {
        watcher();
    }
    adoptedTerms_.insert(members[member].adopted);
    for (const auto &term : adoptedTerms_) {
        const auto adopters = std::count_if(members.begin(), members.end(), [&](const SimMember &other) { return other.adopted >= term; });
        if (static_cast<std::size_t>(adopters) >= majorityOf(members.size())) {
            majorityAdoptedAt.emplace(term, now);
        }
    }
}

template<typename Reply>
void Cluster::call(int proxy,
                   int member,
                   Milliseconds timeout,
                   std::function<void(std::function<void(Reply)>)> serve,
                   std::function<void(ConnectionResult<Reply>)> done)
{
    const auto open = std::make_shared<bool>(true);
    const auto finish = [this, open, proxy, member, done](ConnectionResult<Reply> result) {
        if (!std::exchange(*open, false) || !proxies[proxy].alive) {
            return;
        }
        if (std::holds_alternative<ConnectionFailure>(result)) {
            proxies[proxy].closedConnections.insert(member);
        }
        done(std::move(result));
    };
    const auto fail = [finish](ConnectionFault connectionFault) {
        finish(ConnectionFailure{connectionFault, connectionFault == ConnectionFault::Refused, {}});
    };
    at(now + timeout, [fail] { fail(ConnectionFault::TimedOut); });
    const auto returnToProxy = [this, proxy, member](std::function<void()> action) {
        send(node(member), proxy, std::move(action));
    };
    const auto onConnected = [this, member, serve, finish, fail, returnToProxy] {
        auto &target = members[member];
        if (!target.up) {
            return;
        }
        target.closeHandlers.push_back([fail, returnToProxy] { returnToProxy([fail] { fail(ConnectionFault::Closed); }); });
        const auto generation = target.generation;
        runWhenAwake(member, [this, member, serve, finish, returnToProxy, generation] {
            serve([this, member, finish, returnToProxy, generation](Reply reply) {
                runWhenAwake(member, [this, member, finish, returnToProxy, generation, reply] {
                    if (members[member].generation == generation) {
                        returnToProxy([finish, reply] { finish(reply); });
                    }
                });
            });
        });
    };
    const bool newConnection = proxies[proxy].closedConnections.erase(member) > 0;
    const auto onArrived = [this, member, fail, returnToProxy, onConnected, newConnection] {
        auto &target = members[member];
        if (target.hostDown) {
            return;
        }
        if (!target.up) {
            returnToProxy([fail] { fail(ConnectionFault::Refused); });
            return;
        }
        if (newConnection) {
            // A new connection takes an additional round trip.
            at(now + 2 * delay(), onConnected);
        } else {
            onConnected();
        }
    };
    if (isDelivered(proxy, node(member))) {
        at(now + delay(), onArrived);
    }
}

void Cluster::setLeaving(int member, bool leaving)
{
    members[member].leaving = leaving;
    onChanged(member);
}

void Cluster::clearLeaving()
{
    for (int member = 0; member < static_cast<int>(members.size()); ++member) {
        setLeaving(member, false);
    }
}

void Cluster::requestSwitchover(const MemberName &member)
{
    for (int proxy = 0; proxy < static_cast<int>(proxies.size()); ++proxy) {
        perform(proxy, proxies[proxy].monitor->requestSwitchover(member, now));
    }
}

void Cluster::perform(int proxy, GroupActions actions)
{
    for (const auto &action : actions) {
        if (!proxies[proxy].alive || (beforeAction && !beforeAction(proxy, action))) {
            continue;
        }
        events.emplace_back(now, action);
        performOne(proxy, action);
    }
    schedule(proxy);
}

void Cluster::schedule(int proxy)
{
    const auto number = ++proxies[proxy].tickNumber;
    at(std::max(now, proxies[proxy].monitor->nextWake()), [this, proxy, number] {
        if (proxies[proxy].alive && proxies[proxy].tickNumber == number) {
            perform(proxy, proxies[proxy].monitor->tick(now));
        }
    });
}

void Cluster::performOne(int proxy, const GroupAction &action)
{
    if (const auto *report = std::get_if<SendReport>(&action)) {
        const int member = indexOf(report->member);
        const auto sentAt = now;
        const auto wait = report->wait;
        const auto lastReport = proxies[proxy].lastReports[member];
        call<MemberReport>(
            proxy,
            member,
            wait + report->timeout,
            [this, member, lastReport, wait](std::function<void(MemberReport)> reply) {
                serveReport(member, lastReport, wait, std::move(reply));
            },
            [this, proxy, member, sentAt](const ConnectionResult<MemberReport> &result) {
                const auto &name = members[member].name;
                if (const auto *failure = std::get_if<ConnectionFailure>(&result)) {
                    perform(proxy, proxies[proxy].monitor->onConnectionFailure(name, *failure, now));
                    return;
                }
                const auto &state = std::get<MemberReport>(result);
                proxies[proxy].lastReports[member] = state;
                applyReport(proxy, state);
                perform(proxy, proxies[proxy].monitor->onReport(name, state, sentAt, now));
            });
    } else if (const auto *adopt = std::get_if<SendAdopt>(&action)) {
        order(proxy, indexOf(adopt->member), OrderKind::Adopt, adopt->term, -1, adopt->timeout);
    } else if (const auto *lead = std::get_if<SendLead>(&action)) {
        order(proxy, indexOf(lead->member), OrderKind::Lead, lead->term, -1, lead->timeout);
    } else if (const auto *follow = std::get_if<SendFollow>(&action)) {
        order(proxy, indexOf(follow->member), OrderKind::Follow, follow->term, indexOf(follow->primary), follow->timeout);
    } else if (std::holds_alternative<QueryPeers>(action)) {
        for (int peer = 0; peer < static_cast<int>(proxies.size()); ++peer) {
            if (peer != proxy) {
                send(proxy, peer, [this, peer] { publishObservation(peer, false); });
            }
        }
    } else if (std::holds_alternative<PauseWrites>(action) || std::holds_alternative<ResumeWrites>(action)) {
        const auto *pause = std::get_if<PauseWrites>(&action);
        const bool paused = pause != nullptr;
        const auto until = paused ? pause->until : now;
        for (int peer = 0; peer < static_cast<int>(proxies.size()); ++peer) {
            if (peer == proxy) {
                proxies[peer].writesPausedUntil = until;
                continue;
            }
            send(proxy, peer, [this, peer, paused, until] {
                proxies[peer].writesPausedUntil = until;
                if (paused && proxies[peer].alive) {
                    perform(peer, proxies[peer].monitor->onPeerWritePause(until, now));
                }
            });
        }
    }
}

void Cluster::order(int proxy, int member, OrderKind kind, const Term &term, int primary, Milliseconds timeout)
{
    const auto sentAt = now;
    call<TermReply>(
        proxy,
        member,
        timeout,
        [this, member, kind, term, primary](const std::function<void(TermReply)> &reply) {
            reply(serveOrder(member, kind, term, primary));
        },
        [this, proxy, member, kind, term, sentAt](const ConnectionResult<TermReply> &result) {
            auto &monitor = *proxies[proxy].monitor;
            const auto &name = members[member].name;
            if (const auto *failure = std::get_if<ConnectionFailure>(&result)) {
                perform(proxy, monitor.onOrderFailure(name, kind, term, *failure, now));
                return;
            }
            const auto &reply = std::get<TermReply>(result);
            applyReport(proxy, reply.report);
            perform(proxy, monitor.onOrderReply(name, kind, term, reply, sentAt, now));
        });
}

TermReply Cluster::serveOrder(int member, OrderKind kind, const Term &term, int primary)
{
    auto &target = members[member];
    const auto reply = [&target](bool accepted) {
        return TermReply{accepted, target.report()};
    };
    if (term < target.adopted || (kind == OrderKind::Lead && term != target.adopted)) {
        return reply(false);
    }
    if (kind != OrderKind::Lead && term > target.adopted) {
        target.adopted = term;
        target.role = MemberRole::Replica;
        target.following = -1;
        ++target.pulls;
    }
    if (kind == OrderKind::Lead && target.role != MemberRole::Primary) {
        for (const auto &other : members) {
            if (&other != &target && other.adopted == term && other.role == MemberRole::Primary) {
                safetyViolation = "two members are primary at " + toText(term);
            }
        }
        target.role = MemberRole::Primary;
        target.log.push_back(Entry{term, 0});
        ledTerms.insert(term);
    }
    if (kind == OrderKind::Follow) {
        if (target.role == MemberRole::Primary) {
            safetyViolation = "the primary of " + toText(term) + " was ordered to follow at its own term";
        }
        target.following = primary;
        pull(member, ++target.pulls);
    }
    onChanged(member);
    return reply(true);
}

void Cluster::serveReport(int member, const MemberReport &lastReport, Milliseconds wait, std::function<void(MemberReport)> reply)
{
    if (wait <= Milliseconds{0} || members[member].report() != lastReport) {
        reply(members[member].report());
        return;
    }
    // Replies at the first change of the report or at the end of the wait.
    const auto replied = std::make_shared<bool>(false);
    const auto deadline = now + wait;
    const auto sendReply = [this, member, reply = std::move(reply), replied] {
        if (!std::exchange(*replied, true)) {
            reply(members[member].report());
        }
    };
    waitForChange(member, lastReport, replied, sendReply);
    at(deadline, [this, member, sendReply] { runWhenAwake(member, sendReply); });
}

void Cluster::waitForChange(int member,
                            const MemberReport &lastReport,
                            const std::shared_ptr<bool> &replied,
                            const std::function<void()> &sendReply)
{
    members[member].watchers.push_back([this, member, lastReport, replied, sendReply] {
        if (*replied) {
            return;
        }
        if (members[member].report() != lastReport) {
            sendReply();
        } else {
            waitForChange(member, lastReport, replied, sendReply);
        }
    });
}

void Cluster::pull(int member, unsigned number)
{
    const auto isStale = [this, member, number] {
        return members[member].pulls != number || !members[member].up;
    };
    const int source = members[member].following;
    const auto term = members[member].adopted;
    const auto pullAgain = [this, member, number, isStale] {
        runWhenAwake(member, [this, member, number, isStale] {
            if (!isStale()) {
                pull(member, number);
            }
        });
    };
    // Each pull ends with its reply or its deadline, whichever is first.
    const auto open = std::make_shared<bool>(true);
    at(now + pullWait + pullRetry + members[member].lag, [open, pullAgain] {
        if (std::exchange(*open, false)) {
            pullAgain();
        }
    });
    const auto apply = [this, member, isStale, pullAgain, open, term](const std::vector<Entry> &log) {
        runWhenAwake(member, [this, member, isStale, pullAgain, open, term, log] {
            if (!std::exchange(*open, false) || isStale() || members[member].adopted != term) {
                return;
            }
            members[member].log = log;
            onChanged(member);
            pullAgain();
        });
    };
    const auto ownLog = members[member].log;
    const auto serve = [this, member, source, term, apply, ownLog] {
        const auto &leader = members[source];
        if (!leader.up || leader.role != MemberRole::Primary || leader.adopted != term) {
            return;
        }
        const auto sendReply = [this, member, source, term, apply, ownLog] {
            const auto &from = members[source];
            if (from.up && from.role == MemberRole::Primary && from.adopted == term && isDelivered(node(source), node(member))) {
                at(now + delay() + members[member].lag, [apply, log = logAfterPull(ownLog, from.log)] { apply(log); });
            }
        };
        if (leader.log != ownLog) {
            sendReply();
        } else {
            members[source].watchers.push_back(sendReply);
        }
    };
    send(node(member), node(source), [this, source, serve] {
        if (!members[source].hostDown) {
            runWhenAwake(source, serve);
        }
    });
}

void Cluster::applyReport(int proxy, const MemberReport &report)
{
    if (proxies[proxy].tracker->onState(report.member, report.log, report.adopted)) {
        checkPending(proxy);
    }
}

void Cluster::checkPending(int proxy)
{
    auto &pending = proxies[proxy].pending;
    for (auto write = pending.begin(); write != pending.end();) {
        const auto entryState = proxies[proxy].tracker->quorumState(write->position);
        if (entryState == QuorumState::Replicated) {
            acked.push_back({write->id, write->position, write->appendedAt, now});
        }
        write = entryState == QuorumState::Pending ? std::next(write) : pending.erase(write);
    }
}

void Cluster::write(int proxy)
{
    if (!options_.writes || !proxies[proxy].alive) {
        return;
    }
    at(now + writeInterval, [this, proxy] { write(proxy); });
    const auto info = proxies[proxy].monitor->primary();
    if (!info || now < proxies[proxy].writesPausedUntil) {
        return;
    }
    const int member = indexOf(info->member);
    const auto term = info->term;
    const auto id = nextId_++;
    call<WriteReply>(
        proxy,
        member,
        writeTimeout,
        [this, member, term, id](const std::function<void(WriteReply)> &reply) {
            auto &target = members[member];
            if (target.role != MemberRole::Primary || target.adopted != term) {
                reply(WriteReply{false, target.position(), target.adopted});
                return;
            }
            target.log.push_back(Entry{term, id});
            appendedAt_[id] = now;
            const WriteReply done{true, target.position(), target.adopted};
            onChanged(member);
            reply(done);
        },
        [this, proxy, member, id](const ConnectionResult<WriteReply> &result) {
            const auto *reply = std::get_if<WriteReply>(&result);
            if (reply == nullptr) {
                return;
            }
            if (reply->accepted) {
                proxies[proxy].pending.push_back({id, reply->position, appendedAt_[id]});
            }
            proxies[proxy].tracker->onState(members[member].name, reply->position, reply->adopted);
            checkPending(proxy);
            perform(proxy, proxies[proxy].monitor->onStatementEvidence(members[member].name, now));
        });
}

void Cluster::publishObservation(int proxy, bool repeat)
{
    if (!proxies[proxy].alive) {
        return;
    }
    if (repeat) {
        at(now + observationInterval, [this, proxy] { publishObservation(proxy, true); });
    }
    const InstanceName name{"p" + std::to_string(proxy)};
    const auto ownObservation = proxies[proxy].monitor->observation(now);
    for (int peer = 0; peer < static_cast<int>(proxies.size()); ++peer) {
        if (peer == proxy) {
            continue;
        }
        send(proxy, peer, [this, peer, name, ownObservation] {
            if (proxies[peer].alive) {
                perform(peer, proxies[peer].monitor->onPeerObservation(name, ownObservation, now));
            }
        });
    }
}

void Cluster::kill(int member, bool host)
{
    auto &target = members[member];
    target.up = false;
    target.hostDown = host;
    target.frozen = false;
    target.backlog.clear();
    target.watchers.clear();
    ++target.generation;
    ++target.pulls;
    auto closeHandlers = std::exchange(target.closeHandlers, {});
    for (const auto &closeHandler : closeHandlers) {
        if (!host) {
            closeHandler();
        }
    }
}

void Cluster::restart(int member)
{
    auto &target = members[member];
    if (target.up) {
        return;
    }
    target.up = true;
    target.hostDown = false;
    target.role = MemberRole::Replica;
    target.following = -1;
}

void Cluster::freeze(int member)
{
    members[member].frozen = members[member].up;
}

void Cluster::wake(int member)
{
    members[member].frozen = false;
    auto backlog = std::exchange(members[member].backlog, {});
    for (const auto &action : backlog) {
        action();
    }
}

void Cluster::killProxy(int proxy)
{
    proxies[proxy].alive = false;
}

void Cluster::cutMembers(int left, int right)
{
    cuts_.insert(std::minmax(node(left), node(right)));
}

void Cluster::cutProxy(int proxy, int member)
{
    cuts_.insert(std::minmax(proxy, node(member)));
}

void Cluster::cutProxies(int left, int right)
{
    cuts_.insert(std::minmax(left, right));
}

void Cluster::heal()
{
    cuts_.clear();
    options_.loss = 0;
}

void Cluster::recoverAll(Milliseconds span)
{
    heal();
    for (int member = 0; member < static_cast<int>(members.size()); ++member) {
        wake(member);
        restart(member);
        const bool lagged = std::exchange(members[member].lag, Microseconds{0}) > Microseconds{0};
        if (lagged && members[member].following >= 0) {
            pull(member, ++members[member].pulls);
        }
    }
    run(span);
}

void Cluster::append(int member, const Term &term, std::uint64_t count)
{
    for (std::uint64_t number = 0; number < count; ++number) {
        members[member].log.push_back(Entry{term, nextId_++});
    }
}

int Cluster::primary() const
{
    for (const auto &proxy : proxies) {
        if (proxy.alive) {
            const auto info = proxy.monitor->primary();
            return info ? indexOf(info->member) : -1;
        }
    }
    return -1;
}

Term Cluster::term() const
{
    for (const auto &proxy : proxies) {
        if (proxy.alive) {
            const auto info = proxy.monitor->primary();
            return info ? info->term : Term{};
        }
    }
    return {};
}

std::size_t Cluster::count(AuditEventKind kind) const
{
    return static_cast<std::size_t>(std::count_if(events.begin(), events.end(), [&](const auto &event) {
        const auto *auditEvent = std::get_if<AuditEvent>(&event.second);
        return auditEvent != nullptr && auditEvent->kind == kind;
    }));
}

std::size_t Cluster::promotions() const
{
    return ledTerms.size();
}

std::size_t Cluster::ackedSince(TimePoint since, const Term &term) const
{
    return static_cast<std::size_t>(std::count_if(
        acked.begin(), acked.end(), [&](const AckedWrite &write) { return write.appendedAt >= since && write.position.term == term; }));
}

int Cluster::indexOf(const MemberName &name) const
{
    const auto found = std::find_if(members.begin(), members.end(), [&](const SimMember &member) { return member.name == name; });
    return static_cast<int>(found - members.begin());
}

std::string Cluster::findViolation()
{
    if (!safetyViolation.empty()) {
        return safetyViolation;
    }
    const int leader = primary();
    if (leader < 0 || !members[leader].up) {
        return "no primary";
    }
    std::set<std::uint64_t> kept;
    for (const auto &entry : members[leader].log) {
        kept.insert(entry.id);
    }
    for (const auto &write : acked) {
        if (kept.count(write.id) == 0) {
            return "acknowledged write " + std::to_string(write.id) + " at " + toText(write.position) + " is lost";
        }
        for (const auto &[term, when] : majorityAdoptedAt) {
            if (term > write.position.term && write.appendedAt > when) {
                return "write at " + toText(write.position) + " was acknowledged although " + toText(term) + " had been adopted";
            }
        }
    }
    return {};
}

} // namespace cardamomstep::testing
