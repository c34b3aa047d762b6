// The subcommand `explain route`: shows how a session proxy would route a statement now.
#include "cli/commandline.h"
#include "cli/exitcode.h"
#include "cli/impl/commands.h"
#include "cli/impl/output.h"
#include "cli/impl/sessionproxyquery.h"

namespace cardamomstep::cli::impl {

namespace {

using Json = nlohmann::json;

std::string serversText(const Json &customer)
{
    std::string text;
    for (const auto &proxy : customer.value("serving", Json::array())) {
        text += (text.empty() ? "" : ", ") + cell(proxy, "instance");
    }
    return text.empty() ? "none" : text;
}

void writeCustomer(std::ostream &out, const Json &customer)
{
    out << "customer    " << cell(customer, "name") << (customer.value("known", false) ? "" : " (not in the configuration)") << "\n";
    if (customer.contains("ratePerSecond")) {
        out << "limit       " << cell(customer, "ratePerSecond") << " operations per second, burst " << cell(customer, "burst")
            << "; this proxy's share " << cell(customer, "shareOfLimit") << (customer.value("reserve", false) ? " of the reserve" : "")
            << "\n";
    }
    out << "served by   " << serversText(customer)
        << (customer.contains("standby") ? "; standby " + cell(customer, "standby") : std::string()) << "\n";
}

void writeRoute(std::ostream &out, const Json &answer)
{
    const auto route = answer.value("route", Json::object());
    out << "database    " << cell(answer, "database") << ", " << cell(answer, "access") << ", configuration "
        << cell(answer, "configurationVersion") << "\n";
    out << "group       " << (route.empty() ? "none: the configuration has no route" : cell(route, "group")) << "\n";
    if (answer.contains("customer")) {
        writeCustomer(out, answer["customer"]);
    }
    const auto forwardedTo = cell(answer, "forwardedTo");
    out << "session     " << (forwardedTo.empty() ? "served by this proxy" : "forwarded to " + forwardedTo) << "\n";
    if (answer.contains("requiredPosition")) {
        out << "position    a replica must have " << cell(answer, "requiredPosition") << "\n";
    }
    if (answer.contains("refusal")) {
        out << "refused     " << cell(answer, "refusal") << ", retry after " << cell(answer, "minRetryAfterMs") << " ms or more\n";
    } else if (answer.value("waits", false)) {
        out << "waits       for a connection or a usable primary, with " << cell(answer, "waiting") << " statements\n";
    }
    std::vector<std::vector<std::string>> rows;
    for (const auto &member : answer.value("members", Json::array())) {
        rows.push_back({cell(member, "member"),
                        member.value("primary", false) ? "primary" : "replica",
                        cell(member, "costUs"),
                        member.value("chosen", false) ? "chosen" : cell(member, "reason")});
    }
    writeTable(out, {"MEMBER", "ROLE", "COST US", "DECISION"}, rows);
}

} // namespace

int runExplainRoute(int argc, const char *const *argv, std::ostream &out, std::ostream &err)
{
    CommandLine line({"explain route",
                      "Shows how a session proxy would route a statement now; sends nothing to a member.",
                      "",
                      "cardamomstep explain route --customer acme --database orders --session 10.0.0.1:9102"});
    line.add("database", "database name that the caller uses", "NAME");
    line.add("customer", "customer on whose behalf the caller runs", "NAME");
    line.addFlag("read", "a read (default)");
    line.addFlag("write", "a write");
    line.add("after", "log position of the session's last commit", "POSITION");
    line.add("session", "metrics address of the session proxy", "ADDRESS", "127.0.0.1:9102");
    line.add("o,output", "output format: table or json", "FORM", "table");
    if (const auto done = line.parse(argc, argv, {}, out, err)) {
        return *done;
    }
    const auto format = line.text("output");
    if (line.text("database").empty() || (line.has("read") && line.has("write")) || (format != "table" && format != "json")) {
        return line.usageError(err,
                               line.text("database").empty() ? "--database NAME is required"
                                   : line.has("read")        ? "--read and --write exclude each other"
                                                             : "--output: expected table or json");
    }
    http::Request request{"GET", "/route", {}, {}, {}};
    request.query["database"] = line.text("database");
    request.query["access"] = line.has("write") ? "write" : "read";
    for (const auto *option : {"customer", "after"}) {
        if (!line.text(option).empty()) {
            request.query[option] = line.text(option);
        }
    }
    const auto answer = querySessionProxy(Address{line.text("session")}, request);
    if (!answer) {
        return reportFaults(err, "", answer.faults());
    }
    format == "json" ? writeJson(out, *answer) : writeRoute(out, *answer);
    return toInt(ExitCode::Ok);
}

} // namespace cardamomstep::cli::impl
