// Tests of the end of callers' connections when the process stops, over loopback sockets.
#include "gateway/callerconnections.h"
#include "platform/lineprotocol.h"

#include <criterion/criterion.h>

#include <string>
#include <variant>

using namespace cardamomstep;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// A stopping process with the connection of one caller; its event loop ends when no connection is left, as that of a proxy does.
struct StoppingProcess {
    StoppingProcess()
        : engine(FailureDomain{"a"}, 7)
        , placement(engine, {InstanceName{"one"}, FailureDomain{"a"}, Address{}})
        , callers(loop,
                  engine,
                  placement,
                  metrics,
                  {[](LogLevel, std::string_view, const std::vector<LogField> &) {},
                   [this] { perform(); },
                   [this] {
                       if (callers.size() == 0) {
                           loop.stop();
                       }
                   }})
        , acceptor(loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , caller(loop)
    {
        relay::Configuration configuration;
        configuration.version = 1;
        relay::Route route;
        route.database = relay::DatabaseName{"db"};
        route.group = GroupName{"g"};
        configuration.routes.push_back(route);
        configuration.groups.push_back({GroupName{"g"}, 16, 1});
        const auto now = evloop::bootTimeNow();
        engine.configure(configuration, now);
        engine.drain(now + Seconds{60}, now);
        caller.connect(acceptor.local_endpoint());
        callers.add(acceptor.accept(), false);
    }

    void perform()
    {
        for (auto &action : engine.takeActions()) {
            if (const auto *reply = std::get_if<relay::ReplyToCaller>(&action)) {
                callers.reply(*reply);
            } else if (const auto *close = std::get_if<relay::CloseCaller>(&action)) {
                callers.close(*close);
            }
        }
    }

    /// Everything that has arrived at the caller; no handler runs any more, as in a process that has ended.
    std::string receivedSoFar()
    {
        std::string text(4'096, ' ');
        boost::system::error_code nothing;
        caller.non_blocking(true);
        text.resize(caller.read_some(asio::buffer(text), nothing));
        return text;
    }

    asio::io_context loop;
    relay::Engine engine;
    gateway::SessionPlacement placement;
    gateway::ProxyMetrics metrics;
    gateway::CallerConnections<platform::LineProtocol> callers;
    tcp::acceptor acceptor;
    tcp::socket caller;
};

} // namespace

// The last session of a stopping proxy ended with an answer, and the process ended before the answer was sent (convenio-cantabrico
// fresh-4c6e, LOST).
Test(platform, aStoppingProcessSendsItsLastAnswerBeforeItEnds)
{
    StoppingProcess process;
    asio::write(process.caller, asio::buffer(std::string("START db u1\r\nQUERY 1 BEGIN\r\nQUERY 2 COMMIT\r\n")));
    process.loop.run_for(Seconds{5});
    const auto received = process.receivedSoFar();
    cr_assert(received.find("COMPLETE -\r\nREADY I -\r\n") != std::string::npos, "no answer to COMMIT: %s", received.c_str());
}
