// Stand-ins for tests: a database group member, the platform's store with its instance list, and a network relay.
#include "member.h"
#include "relay.h"
#include "store.h"

// g++ 12 reports a false positive of -Wrestrict in the string handling of cxxopts.
#if defined(__GNUC__) && !defined(__clang__)
#pragma GCC diagnostic ignored "-Wrestrict"
#endif

#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>
#include <string>
#include <thread>

namespace {

using namespace cardamomstep;
using namespace cardamomstep::standins;

void runMember(const cxxopts::ParseResult &options)
{
    MemberOptions member;
    member.name = options["name"].as<std::string>();
    member.domain = options["domain"].as<std::string>();
    member.listen = Address{options["listen"].as<std::string>()};
    member.slots = options["slots"].as<unsigned>();
    member.connections = options["connections"].as<unsigned>();
    member.openTime = Milliseconds{options["open-ms"].as<unsigned>()};
    member.serviceTime = Microseconds{options["service-us"].as<unsigned>()};
    member.stateFile = options["state"].as<std::string>();
    Member(member).run();
}

void runStore(const cxxopts::ParseResult &options)
{
    StoreOptions store;
    store.domain = options["domain"].as<std::string>();
    store.listen = Address{options["listen"].as<std::string>()};
    store.writesPerSecond = options["writes-per-second"].as<unsigned>();
    store.readsPerSecond = options["reads-per-second"].as<unsigned>();
    Store(store).run();
}

void runRelay(const cxxopts::ParseResult &options)
{
    RelayOptions relay;
    relay.listen = Address{options["listen"].as<std::string>()};
    relay.target = Address{options["target"].as<std::string>()};
    relay.control = Address{options["control"].as<std::string>()};
    Relay(relay).run();
}

cxxopts::Options makeOptions()
{
    cxxopts::Options options("standins", "Test stand-ins: member, store or relay");
    auto add = options.add_options();
    add("role", "member, store or relay", cxxopts::value<std::string>());
    add("name", "member name", cxxopts::value<std::string>()->default_value("member"));
    add("domain", "failure domain of the stand-in", cxxopts::value<std::string>()->default_value(""));
    add("listen", "address to listen on", cxxopts::value<std::string>());
    add("slots", "number of statements that run concurrently", cxxopts::value<unsigned>()->default_value("3"));
    add("connections", "maximum number of database connections", cxxopts::value<unsigned>()->default_value("40"));
    add("open-ms", "time to open a database connection in ms", cxxopts::value<unsigned>()->default_value("12"));
    add("service-us", "service time of a statement in us", cxxopts::value<unsigned>()->default_value("0"));
    add("state", "file that stores a member's state", cxxopts::value<std::string>()->default_value(""));
    add("writes-per-second", "store limit, 0 for none", cxxopts::value<unsigned>()->default_value("500"));
    add("reads-per-second", "store limit, 0 for none", cxxopts::value<unsigned>()->default_value("2000"));
    add("target", "address that the relay connects to", cxxopts::value<std::string>()->default_value(""));
    add("control", "address for control requests to the relay", cxxopts::value<std::string>()->default_value(""));
    options.parse_positional({"role"});
    return options;
}

int runRole(const cxxopts::ParseResult &options)
{
    const auto role = options["role"].as<std::string>();
    if (role == "member") {
        runMember(options);
    } else if (role == "store") {
        runStore(options);
    } else if (role == "relay") {
        runRelay(options);
    } else {
        std::cerr << "unknown stand-in: " << role << "\n";
    }
    return EXIT_FAILURE;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    (void)std::signal(SIGPIPE, SIG_IGN);
    try {
        return runRole(makeOptions().parse(argumentCount, arguments));
    } catch (const std::exception &error) {
        std::cerr << "standins: " << error.what() << "\n";
        return EXIT_FAILURE;
    }
}
