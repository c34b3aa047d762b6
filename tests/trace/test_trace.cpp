// Tests of recording and replaying a group's decisions.
//
// tests/trace/golden/failover.jsonl is a whole session: bootstrap, a crash of the primary, its return and a switchover. After an intended
// change of the decisions, regenerate it with CARDAMOMSTEP_WRITE_GOLDEN=1 and review the difference.
// tests/trace/recorded holds traces of real processes under failures, made by bench/record_traces.py.
#include "trace/replay.h"
#include "trace/tracedmonitor.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <sstream>

using namespace cardamomstep;
using namespace cardamomstep::trace;

namespace {

constexpr const char *goldenPath = "tests/trace/golden/failover.jsonl";
constexpr Milliseconds oneWay{3};

/// A simulation of three members that follow the rules of docs/design/member.md, and of one owner, whose trace is recorded.
class Session
{
public:
    Session()
        : monitor_(startOf(), [this](const std::string &line) { text_ += line + "\n"; })
    {
        for (const auto *name : {"m1", "m2", "m3"}) {
            members_[MemberName{name}].report.member = MemberName{name};
        }
        handle(Tick{});
    }

    void run(Milliseconds span)
    {
        const auto end = now_ + span;
        while (true) {
            const auto wake = std::max(now_, monitor_.monitor().nextWake());
            const auto event = events_.empty() ? end + Seconds{1} : events_.begin()->first;
            if (std::min(wake, event) > end) {
                break;
            }
            if (event <= wake) {
                now_ = event;
                auto action = std::move(events_.begin()->second);
                events_.erase(events_.begin());
                action();
            } else {
                now_ = wake == now_ ? now_ + Milliseconds{1} : wake;
                handle(Tick{});
            }
        }
        now_ = end;
        monitor_.recordOutcome(now_);
    }

    void setMemberUp(const char *member, bool up)
    {
        members_[MemberName{member}].up = up;
    }

    void requestSwitchover(const MemberName &member)
    {
        handle(RequestSwitchover{member});
    }

    MemberName primary() const
    {
        const auto primary = monitor_.monitor().primary();
        return primary ? primary->member : MemberName{};
    }

    const std::string &text() const
    {
        return text_;
    }

private:
    struct Member {
        MemberReport report;
        bool up = true;
    };

    static GroupStart startOf()
    {
        GroupStart start;
        start.group = GroupName{"ledger-1"};
        start.members = {{MemberName{"m1"}, Address{"10.0.0.1:1"}},
                         {MemberName{"m2"}, Address{"10.0.0.2:1"}},
                         {MemberName{"m3"}, Address{"10.0.0.3:1"}}};
        start.seed = 7;
        start.now = TimePoint{Seconds{1}};
        return start;
    }

    void schedule(Microseconds delay, std::function<void()> action)
    {
        events_.emplace(now_ + delay, std::move(action));
    }

    void handle(const GroupInput &input)
    {
        for (const auto &action : monitor_.handle(input, now_)) {
            perform(action);
        }
    }

    void perform(const GroupAction &action)
    {
        if (const auto *report = std::get_if<SendReport>(&action)) {
            sendReport(*report);
        } else if (const auto *adopt = std::get_if<SendAdopt>(&action)) {
            sendOrder(OrderKind::Adopt, adopt->member, adopt->term);
        } else if (const auto *lead = std::get_if<SendLead>(&action)) {
            sendOrder(OrderKind::Lead, lead->member, lead->term);
        } else if (const auto *follow = std::get_if<SendFollow>(&action)) {
            sendOrder(OrderKind::Follow, follow->member, follow->term);
        }
    }

    void sendReport(const SendReport &action)
    {
        schedule(oneWay + action.wait, [this, name = action.member, sentAt = now_] {
            schedule(oneWay, [this, name, sentAt, up = members_[name].up, report = members_[name].report] {
                if (up) {
                    handle(Report{name, report, sentAt});
                } else {
                    handle(ReportFailure{name, {ConnectionFault::Refused, true, "connection refused by 10.0.0.9"}});
                }
            });
        });
    }

    void sendOrder(OrderKind kind, const MemberName &name, const Term &term)
    {
        schedule(oneWay, [this, kind, name, term, sentAt = now_] {
            auto &member = members_[name];
            const bool accepted = member.up && handleOrder(member.report, kind, term);
            schedule(oneWay, [this, kind, name, term, sentAt, accepted, up = member.up, report = member.report] {
                if (up) {
                    handle(OrderReply{name, kind, term, {accepted, report}, sentAt});
                } else {
                    handle(OrderFailure{name, kind, term, {ConnectionFault::Refused, true, {}}});
                }
            });
        });
    }

    bool handleOrder(MemberReport &report, OrderKind kind, const Term &term)
    {
        const bool lower = term < report.adopted || (kind == OrderKind::Lead && term != report.adopted);
        if (lower) {
            return false;
        }
        if (kind == OrderKind::Lead) {
            const bool first = report.role != MemberRole::Primary;
            report.role = MemberRole::Primary;
            report.log = first ? LogPosition{term, report.log.index + 1} : report.log;
            return true;
        }
        if (term > report.adopted || kind == OrderKind::Follow) {
            report.role = MemberRole::Replica;
        }
        report.adopted = term;
        if (kind == OrderKind::Follow) {
            for (const auto &[name, other] : members_) {
                report.log = other.report.role == MemberRole::Primary ? other.report.log : report.log;
            }
        }
        return true;
    }

    std::string text_;
    TimePoint now_{Seconds{1}};
    std::multimap<TimePoint, std::function<void()>> events_;
    std::map<MemberName, Member> members_;
    TracedMonitor<std::function<void(const std::string &)>> monitor_;
};

std::string recordedSession()
{
    Session session;
    session.run(Milliseconds{300});
    const auto first = session.primary();
    cr_assert(!first.empty());
    session.setMemberUp(first.text().c_str(), false);
    session.run(Milliseconds{600});
    const auto second = session.primary();
    cr_assert(!second.empty());
    cr_assert(second != first);
    session.setMemberUp(first.text().c_str(), true);
    session.run(Milliseconds{400});
    session.requestSwitchover(second);
    session.run(Milliseconds{600});
    cr_assert(!session.primary().empty());
    cr_assert(session.primary() != second);
    return session.text();
}

Result<ReplayReport> replayText(const std::string &text)
{
    std::istringstream in(text);
    return replay(in);
}

std::string replaced(std::string text, const std::string &before, const std::string &after, std::size_t from = 0)
{
    const auto place = text.find(before, from);
    cr_assert(place != std::string::npos);
    return text.replace(place, before.size(), after);
}

} // namespace

Test(trace, goldenSessionReplaysToTheSameDecisions)
{
    if (std::getenv("CARDAMOMSTEP_WRITE_GOLDEN") != nullptr) {
        std::ofstream(goldenPath) << recordedSession();
    }
    std::ifstream golden(goldenPath);
    std::ostringstream out;
    std::ostringstream faults;
    const auto exit = runReplay(golden, out, faults);
    cr_assert(exit == ReplayExit::Same, "%s%s", out.str().c_str(), faults.str().c_str());
}

Test(trace, recordingIsDeterministic)
{
    const auto text = recordedSession();
    cr_assert(text == recordedSession());
    const auto report = replayText(text);
    cr_assert(bool(report));
    cr_assert(!report->difference.has_value());
    cr_assert(report->steps > 100);
}

Test(trace, replayReportsBothActionsOfTheFirstDifference)
{
    const auto text = replaced(recordedSession(), "\"kind\":\"send-lead\",\"member\":\"m", "\"kind\":\"send-lead\",\"member\":\"x");
    std::istringstream in(text);
    std::ostringstream out;
    std::ostringstream faults;
    cr_assert(runReplay(in, out, faults) == ReplayExit::Different);
    const auto report = replayText(text);
    cr_assert((bool(report) && report->difference.has_value()));
    cr_assert(report->difference->recorded.find("\"member\":\"x") != std::string::npos);
    cr_assert(report->difference->replayed.find("\"member\":\"m") != std::string::npos);
    cr_assert(out.str().find("different at line " + std::to_string(report->difference->line)) != std::string::npos);
}

Test(trace, missingAndAdditionalActionsDiffer)
{
    const auto text = recordedSession();
    const auto tick = text.find('\n') + 1;
    const auto actions = text.find("\"actions\":[", tick);
    const auto end = text.find("],\"at\"", actions);
    auto fewer = text;
    fewer.erase(actions + 11, end - actions - 11);
    const auto report = replayText(fewer);
    cr_assert((bool(report) && report->difference.has_value()));
    cr_assert(report->difference->line == 2);
    cr_assert(report->difference->recorded == "nothing");
    const auto more = replayText(replaced(text, "\"actions\":[", "\"actions\":[{\"kind\":\"ask-peers\"},", tick));
    cr_assert((bool(more) && more->difference.has_value()));
}

Test(trace, recordedOutcomeIsCompared)
{
    const auto report = replayText(replaced(recordedSession(), "\"confirmed\":true", "\"confirmed\":false"));
    cr_assert((bool(report) && report->difference.has_value()));
    cr_assert(report->difference->replayed.find("\"confirmed\":true") != std::string::npos);
}

Test(trace, otherVersionsAndMalformedLinesAreRejected)
{
    const auto text = recordedSession();
    cr_assert(replayText(replaced(text, "cardamomstep/1", "cardamomstep/2")).error().kind == ErrorKind::UnsupportedVersion);
    cr_assert(replayText("").error().kind == ErrorKind::MalformedRequest);
    const auto broken = replayText(replaced(text, "\"kind\":\"report\"", "\"kind\":\"rumour\""));
    cr_assert(!broken);
    cr_assert(broken.error().position->line > 1);
    std::istringstream in("[1,2]\n");
    std::ostringstream out;
    std::ostringstream faults;
    cr_assert(runReplay(in, out, faults) == ReplayExit::Unreadable);
    cr_assert(!faults.str().empty());
}

Test(trace, descriptionsOfFailuresAreNotRecorded)
{
    cr_assert(recordedSession().find("10.0.0.9") == std::string::npos);
}

Test(trace, everyInputIsReadBackFromItsLine)
{
    const bool holds =
        rc::check("inputs are read back", [](std::uint64_t number, std::uint64_t proposer, std::uint64_t position, bool flag) {
            const Term term{number, proposer};
            const MemberReport report{
                MemberName{"m\"1"}, flag ? MemberRole::Primary : MemberRole::Replica, term, LogPosition{term, position}, flag};
            const TimePoint time{Microseconds{*rc::gen::inRange<std::int64_t>(0, 1'000'000'000'000)}};
            GroupPolicy policy;
            policy.silenceBound = Milliseconds{*rc::gen::inRange(1, 10'000)};
            policy.replicaHeartbeatFactor = *rc::gen::inRange(1U, 9U);
            const std::vector<GroupInput> inputs{
                Tick{},
                Report{report.member, report, time},
                ReportFailure{report.member, {ConnectionFault::Corrupt, flag, {}}},
                OrderReply{report.member, OrderKind::Lead, term, {flag, report}, time},
                OrderFailure{report.member, OrderKind::Follow, term, {ConnectionFault::TimedOut, flag, {}}},
                Observation{InstanceName{"p"}, {report.member, term, term, report.log, Milliseconds{5}}},
                StatementEvidence{report.member},
                SetRank{3},
                SetMembers{{{report.member, Address{"10.0.0.1:1"}}}},
                SetPolicy{policy},
                RequestSwitchover{report.member},
                PeerWritePause{time}};
            RC_ASSERT(inputs.size() == std::variant_size_v<GroupInput>);
            for (std::size_t index = 0; index < inputs.size(); ++index) {
                RC_ASSERT(inputs[index].index() == index);
                const auto line = stepLine(inputs[index], {}, time);
                const auto step = readStep(line);
                RC_ASSERT(bool(step));
                RC_ASSERT(step->input.has_value());
                RC_ASSERT(stepLine(*step->input, {}, step->now) == line);
            }
        });
    cr_assert(holds);
}

Test(trace, recordedFailuresReplayToTheSameDecisions)
{
    constexpr std::size_t cases = 12;
    std::size_t replayed = 0;
    for (const auto &entry : std::filesystem::directory_iterator("tests/trace/recorded")) {
        std::ifstream recorded(entry.path());
        std::ostringstream out;
        std::ostringstream faults;
        const auto exit = runReplay(recorded, out, faults);
        cr_assert(exit == ReplayExit::Same, "%s: %s%s", entry.path().c_str(), out.str().c_str(), faults.str().c_str());
        ++replayed;
    }
    cr_assert(replayed == cases);
}
