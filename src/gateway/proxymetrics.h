// The session proxy's counters, time distributions and gauges.
#pragma once

#include "base/errorkind.h"
#include "metrics/metrics.h"
#include "relay/action.h"
#include "relay/engine.h"
#include "store/storecalls.h"

#include <functional>
#include <string>
#include <string_view>

namespace cardamomstep::gateway {

/// Leadership values that are shown as gauges.
struct LeadershipGauges {
    bool holdsLease = false;
    /// Empty while no lease holder is known.
    InstanceName leaseHolder;
    /// Time until the primary table expires; negative when it has expired.
    Milliseconds primaryTableTimeLeft{0};
    /// The number of registered proxies.
    std::uint32_t proxies = 0;
};

/// Collects the values of the metrics page under their names.
class ProxyMetrics
{
public:
    /// Counts one answer to a caller.
    void answered(const relay::ReplyToCaller &answer)
    {
        const auto outcome = answer.reply.error ? std::string(answerRule(answer.reply.error->kind).name) : std::string("ok");
        const auto labels =
            "{kind=\"" + std::string(nameOf(answer.kind)) + "\",outcome=\"" + outcome + "\",group=\"" + answer.group.text() + "\"}";
        metrics_.count("statements_total" + labels);
        metrics_.observe("statement_ms" + labels, answer.took);
    }

    void memberConnectionOpened()
    {
        metrics_.count("member_connections_total");
    }

    void storeFailed(std::string_view dependency)
    {
        metrics_.count("store_failures_total{of=\"" + std::string(dependency) + "\"}");
    }

    /// Returns a function that counts one unreadable entry of a dependency.
    [[nodiscard]] std::function<void(std::string_view dependency)> unreadableEntryCounter()
    {
        return [this](std::string_view dependency) {
            metrics_.count("store_entries_unreadable_total{of=\"" + std::string(dependency) + "\"}");
        };
    }

    /// Counts a session that was resumed locally after its proxy was lost (\a how is "taken_over"), or redirected to another ("sent_on").
    void sessionMoved(std::string_view how)
    {
        metrics_.count("sessions_moved_total{how=\"" + std::string(how) + "\"}");
    }

    /// Sets the gauges and returns the whole page.
    [[nodiscard]] std::string page(
        const relay::Engine &engine, const LeadershipGauges &leadership, const StoreCalls &calls, std::uint64_t droppedLines, TimePoint now)
    {
        for (const auto &[call, count] : calls.all()) {
            metrics_.set("store_calls_total{kind=\"" + call.first + "\",purpose=\"" + call.second + "\"}", static_cast<double>(count));
        }
        metrics_.set("sessions", static_cast<double>(engine.callers()));
        metrics_.set("configuration_version", static_cast<double>(engine.routes().version()));
        metrics_.set("lease_held", leadership.holdsLease ? 1 : 0);
        metrics_.set("view_left_ms", static_cast<double>(leadership.primaryTableTimeLeft.count()));
        metrics_.set("proxies_registered", static_cast<double>(leadership.proxies));
        metrics_.set("log_lines_dropped", static_cast<double>(droppedLines));
        for (const auto &group : engine.groupStats()) {
            const auto labels = "{group=\"" + group.group.text() + "\"}";
            metrics_.set("statements_waiting" + labels, static_cast<double>(group.waiting));
            metrics_.set("member_connections_open" + labels, static_cast<double>(group.connections));
            metrics_.set("member_connections_lent" + labels, static_cast<double>(group.connectionsInUse));
            metrics_.set("primary_generation" + labels, static_cast<double>(group.primary.generation));
            const auto drainingSince = group.primaryDrainingSince.value_or(now);
            metrics_.set("primary_leaving_ms" + labels, static_cast<double>(wholeMilliseconds(now - drainingSince).count()));
        }
        for (const auto &member : engine.memberCapacities(now)) {
            metrics_.set("member_capacity{group=\"" + member.group.text() + "\",member=\"" + member.member.text() + "\"}", member.capacity);
        }
        return metrics_.page() + customersPage(engine);
    }

private:
    /// Returns the counters of the customers with the most operations or refusals; others are left out, so the page is bounded.
    static std::string customersPage(const relay::Engine &engine)
    {
        constexpr std::size_t shownCustomers = 20;
        std::string page;
        for (const auto &counts : engine.customerLimits().busiest(shownCustomers)) {
            const auto labels = "{customer=\"" + counts.customer.text() + "\"} ";
            page += "customer_operations_total" + labels + std::to_string(counts.operations) + "\n";
            page += "customer_refused_total" + labels + std::to_string(counts.refused) + "\n";
        }
        return page;
    }

    static std::string_view nameOf(relay::StatementKind kind) noexcept
    {
        switch (kind) {
        case relay::StatementKind::Begin:
            return "begin";
        case relay::StatementKind::Commit:
            return "commit";
        case relay::StatementKind::Rollback:
            return "rollback";
        case relay::StatementKind::Read:
            return "read";
        case relay::StatementKind::Write:
            return "write";
        case relay::StatementKind::Execute:
            return "execute";
        case relay::StatementKind::SetValue:
        case relay::StatementKind::Prepare:
        case relay::StatementKind::Deallocate:
            return "session";
        case relay::StatementKind::Malformed:
            break;
        }
        return "malformed";
    }

    Metrics metrics_;
};

} // namespace cardamomstep::gateway
