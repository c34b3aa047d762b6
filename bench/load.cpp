// Load generator: many callers on a few proxies. Prints throughput, latency percentiles and counts of answers as one JSON line.
#include "http/connection.h"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <map>
#include <mutex>
#include <sstream>
#include <thread>
#include <vector>

namespace {

using namespace cardamomstep;
using Json = nlohmann::json;

struct LoadOptions {
    std::vector<Address> proxies;
    std::string service;
    std::vector<std::string> prefixes;
    unsigned callers = 32;
    double seconds = 5;
    /// Fraction of statements that are reads.
    double readShare = 0.9;
    /// Rate of all callers together; 0 for no limit.
    double ratePerSecond = 0;
    std::int64_t windowMs = 500;
    /// Accepted age of reads; negative for reads that must be current.
    std::int64_t acceptedAgeMs = -1;
};

struct Totals {
    std::mutex mutex;
    /// In milliseconds.
    std::vector<double> latencies;
    /// Number of answers by error name; "ok" for successes.
    std::map<std::string, std::uint64_t> answers;
    /// Successful answers within the window.
    std::uint64_t inWindow = 0;
    /// Successful reads, and those of them that a replica served.
    std::uint64_t fromReplica = 0;
    std::uint64_t reads = 0;
};

std::vector<std::string> split(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    std::string part;
    while (std::getline(in, part, ',')) {
        parts.push_back(part);
    }
    return parts;
}

std::string bodyOf(const LoadOptions &options, bool isRead, std::uint64_t number, const std::string &session)
{
    Json body{{"access", isRead ? "read" : "write"}, {"operation", isRead ? "get" : "put"}, {"windowMs", options.windowMs}};
    body["key"] = options.prefixes[number % options.prefixes.size()] + "k" + std::to_string(number % 97);
    if (isRead && options.acceptedAgeMs >= 0) {
        body["acceptedAgeMs"] = options.acceptedAgeMs;
    }
    if (!isRead) {
        body["arguments"] = {{"value", number}};
    }
    if (!session.empty()) {
        body["session"] = session;
    }
    return body.dump();
}

/// Runs one caller: sends statements one after the other, at its fraction of the total rate.
void runCaller(const LoadOptions &options, unsigned index, TimePoint until, Totals &totals)
{
    http::Connection connection(options.proxies[index % options.proxies.size()]);
    std::vector<double> latencies;
    std::map<std::string, std::uint64_t> answers;
    std::uint64_t inWindow = 0;
    std::uint64_t fromReplica = 0;
    std::uint64_t reads = 0;
    std::string session;
    const auto pause = options.ratePerSecond > 0 ? Microseconds{static_cast<std::int64_t>(1e6 * options.callers / options.ratePerSecond)}
                                                 : Microseconds{0};
    auto due = steadyNow() + pause * index / options.callers;
    // The prime stride makes each caller use all keys and prefixes.
    for (std::uint64_t number = index; steadyNow() < until; number += 7919) {
        if (pause.count() > 0) {
            std::this_thread::sleep_until(std::chrono::steady_clock::time_point(due.time_since_epoch()));
            due += pause;
        }
        const bool isRead = static_cast<double>((number / 7) % 1000) < options.readShare * 1000;
        const auto began = steadyNow();
        const auto path = "/v1/services/" + options.service + "/statements";
        const auto result = connection.exchange(
            {"POST", path, {}, {{"content-type", "application/json"}}, bodyOf(options, isRead, number, session)}, Milliseconds{5000});
        const auto took = static_cast<double>((steadyNow() - began).count()) / 1000.0;
        latencies.push_back(took);
        if (!result.response) {
            ++answers["no-answer"];
            continue;
        }
        const auto answer = Json::parse(result.response->body, nullptr, false);
        const auto error = answer.is_object() ? answer.value("error", std::string("ok")) : std::string("unreadable");
        ++answers[error];
        if (error == "ok") {
            inWindow += took <= static_cast<double>(options.windowMs) ? 1 : 0;
            session = answer.value("session", session);
            reads += isRead ? 1 : 0;
            fromReplica += isRead && answer.value("fromReplica", false) ? 1 : 0;
        }
    }
    const std::lock_guard lock(totals.mutex);
    totals.latencies.insert(totals.latencies.end(), latencies.begin(), latencies.end());
    for (const auto &[kind, count] : answers) {
        totals.answers[kind] += count;
    }
    totals.inWindow += inWindow;
    totals.fromReplica += fromReplica;
    totals.reads += reads;
}

double percentile(const std::vector<double> &sorted, double fraction)
{
    if (sorted.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(sorted.size() - 1));
    return sorted[index];
}

Json run(const LoadOptions &options)
{
    Totals totals;
    const auto until = steadyNow() + Microseconds{static_cast<std::int64_t>(options.seconds * 1e6)};
    std::vector<std::thread> callers;
    for (unsigned index = 0; index < options.callers; ++index) {
        callers.emplace_back([&, index] { runCaller(options, index, until, totals); });
    }
    for (auto &caller : callers) {
        caller.join();
    }
    std::sort(totals.latencies.begin(), totals.latencies.end());
    return {{"statements", totals.latencies.size()},
            {"per_second", static_cast<double>(totals.latencies.size()) / options.seconds},
            {"in_window_per_second", static_cast<double>(totals.inWindow) / options.seconds},
            {"p50_ms", percentile(totals.latencies, 0.5)},
            {"p99_ms", percentile(totals.latencies, 0.99)},
            {"max_ms", percentile(totals.latencies, 1)},
            {"reads", totals.reads},
            {"reads_from_replicas", totals.fromReplica},
            {"answers", totals.answers}};
}

/// Opens \a count connections, sends one request on each, and keeps them idle for the duration of the run.
void holdIdle(const LoadOptions &options, unsigned count)
{
    std::vector<std::unique_ptr<http::Connection>> idle;
    unsigned open = 0;
    for (unsigned index = 0; index < count; ++index) {
        idle.push_back(std::make_unique<http::Connection>(options.proxies[index % options.proxies.size()]));
        const auto result = idle.back()->exchange({"GET", "/health", {}, {}, ""}, Milliseconds{2000});
        open += result.response ? 1 : 0;
    }
    std::cout << Json{{"idle_connections", open}}.dump() << std::endl;
    std::this_thread::sleep_for(std::chrono::duration<double>(options.seconds));
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options description("load", "Generates load on proxies for a bounded time");
    auto add = description.add_options();
    add("proxies", "caller addresses of the proxies, separated by commas", cxxopts::value<std::string>());
    add("service", "service", cxxopts::value<std::string>()->default_value("ledger"));
    add("prefixes", "key prefixes, separated by commas", cxxopts::value<std::string>()->default_value(""));
    add("callers", "callers", cxxopts::value<unsigned>()->default_value("32"));
    add("seconds", "duration in seconds, at most 120", cxxopts::value<double>()->default_value("5"));
    add("read-share", "fraction of statements that are reads", cxxopts::value<double>()->default_value("0.9"));
    add("rate", "statements per second of all callers together; 0 for no limit", cxxopts::value<double>()->default_value("0"));
    add("window", "time window of a statement in ms", cxxopts::value<std::int64_t>()->default_value("500"));
    add("age", "accepted age of reads in ms; negative for current reads", cxxopts::value<std::int64_t>()->default_value("-1"));
    add("idle", "open this many idle connections instead of running a load", cxxopts::value<unsigned>()->default_value("0"));
    const auto parsed = description.parse(argc, argv);
    LoadOptions options;
    for (const auto &address : split(parsed["proxies"].as<std::string>())) {
        options.proxies.emplace_back(address);
    }
    options.service = parsed["service"].as<std::string>();
    options.prefixes = split(parsed["prefixes"].as<std::string>());
    if (options.prefixes.empty()) {
        options.prefixes.emplace_back("");
    }
    options.callers = parsed["callers"].as<unsigned>();
    options.seconds = std::min(parsed["seconds"].as<double>(), 120.0);
    options.readShare = parsed["read-share"].as<double>();
    options.ratePerSecond = parsed["rate"].as<double>();
    options.windowMs = parsed["window"].as<std::int64_t>();
    options.acceptedAgeMs = parsed["age"].as<std::int64_t>();
    if (parsed["idle"].as<unsigned>() > 0) {
        holdIdle(options, parsed["idle"].as<unsigned>());
        return 0;
    }
    std::cout << run(options).dump() << std::endl;
    return 0;
}
