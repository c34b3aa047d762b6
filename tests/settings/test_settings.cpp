// Tests of reading settings: defaults, every kind of invalid input, and all faults at once with their lines.
#include "settings/read.h"

#include <criterion/criterion.h>

#include <sstream>

using namespace cardamomstep;

namespace {

const std::string minimalText = R"({
  "instance": "norte-1",
  "failureDomain": "norte-bio",
  "callers": {"listen": "127.0.0.1:7000"},
  "operators": {"listen": "127.0.0.1:7001", "token": "0123456789abcdef"},
  "peers": {"listen": "0.0.0.0:7002", "advertise": "127.0.0.1:7002"},
  "platform": {"store": "127.0.0.1:7100"}
})";

std::string withReplacement(const std::string &from, const std::string &to)
{
    auto text = minimalText;
    text.replace(text.find(from), from.size(), to);
    return text;
}

/// Returns the faults of \a text as "line key", one per line.
std::string faultPositions(const std::string &text)
{
    const auto settings = readSettings("proxy.json", text);
    std::ostringstream positions;
    if (!settings) {
        for (const auto &fault : settings.faults()) {
            cr_assert(fault.kind == ErrorKind::InvalidSettings);
            cr_assert(fault.position->file == "proxy.json");
            positions << fault.position->line << " " << fault.position->key << "\n";
        }
    }
    return positions.str();
}

} // namespace

Test(settings, missingOptionalKeysHaveDefaults)
{
    const auto settings = readSettings("proxy.json", minimalText);
    cr_assert(bool(settings));
    cr_assert(settings->instance == InstanceName{"norte-1"});
    cr_assert(settings->platform.instanceList == Address{"127.0.0.1:7100"});
    cr_assert(settings->failover.silence == Milliseconds{200});
    cr_assert(settings->failover.heartbeat == Milliseconds{50});
    cr_assert(settings->log.level == LogLevel::Info);
    cr_assert(settings->seeds.empty());
}

Test(settings, everyKeyIsRead)
{
    auto text = minimalText;
    text.insert(text.rfind('}'),
                R"(, "region": "norte", "seeds": [{"name": "n2", "failureDomain": "norte-sdr", "address": "10.0.0.2:7002"}],
  "limits": {"callerConnections": 10, "bodyBytes": 2048, "tokenBytes": 128, "threads": 3, "maxWindowMs": 5000, "inFlight": 7},
  "failover": {"silenceMs": 300, "heartbeatMs": 20}, "log": {"level": "debug", "format": "json", "file": "a.log"},
  "trace": {"file": "t"}, "drainMs": 900)");
    const auto settings = readSettings("proxy.json", text);
    cr_assert(bool(settings));
    cr_assert(settings->region == "norte");
    cr_assert(settings->seeds.at(0).address == Address{"10.0.0.2:7002"});
    cr_assert(settings->limits.threads == 3 && settings->limits.inFlight == 7 && settings->limits.callerConnections == 10);
    cr_assert(settings->limits.bodyBytes == 2048 && settings->limits.tokenBytes == 128);
    cr_assert(settings->limits.maxWindow == Milliseconds{5000});
    cr_assert(settings->failover.silence == Milliseconds{300});
    cr_assert(settings->log.format == LogFormat::Json && settings->log.file == "a.log");
    cr_assert(settings->trace.file == "t");
    cr_assert(settings->drain == Milliseconds{900});
}

Test(settings, allFaultsAreReportedAtOnceWithTheirLines)
{
    const std::string text = R"({
  "instance": 7,
  "failureDomain": "norte bio",
  "callers": {"listen": "localhost"},
  "operators": {"listen": "127.0.0.1:7001",
    "token": "short"},
  "peers": {"listen": "127.0.0.1:7001", "advertise": "127.0.0.1:7002", "advertize": "x"},
  "seeds": [
    {"name": "a", "failureDomain": "d", "address": "127.0.0.1:1"},
    {"name": "a", "failureDomain": "d", "address": "127.0.0.1:0"}
  ],
  "limits": {"threads": 0},
  "limits": {"threads": 100000},
  "failover": {"silenceMs": 40, "heartbeatMs": 30},
  "log": {"level": "loud"}
})";
    cr_assert(faultPositions(text)
                  == "1 platform\n1 platform.store\n2 instance\n3 failureDomain\n4 callers.listen\n6 operators.token\n7 peers.advertize\n7 "
                     "peers.listen\n"
                     "10 seeds[1].address\n10 seeds[1].name\n13 limits\n13 limits.threads\n14 failover.silenceMs\n15 log.level\n",
              "%s",
              faultPositions(text).c_str());
}

Test(settings, tokensAreNeverRepeatedInFaults)
{
    const auto settings = readSettings("proxy.json", withReplacement("0123456789abcdef", "sekret"));
    cr_assert(!settings);
    cr_assert(settings.faults().at(0).description.find("sekret") == std::string::npos);
}

Test(settings, tlsFilesMustBeSetTogether)
{
    cr_assert(faultPositions(withReplacement("\"127.0.0.1:7000\"", "\"127.0.0.1:7000\", \"keyFile\": \"k\""))
              == "4 callers.certificateFile\n");
    cr_assert(faultPositions(withReplacement("\"advertise\"", "\"caFile\": \"c\", \"advertise\""))
              == "6 peers.certificateFile\n6 peers.keyFile\n");
}

Test(settings, textsThatAreNotSettingsAreRejected)
{
    for (const char *text : {"", "{", "[]", "7", "{\"instance\": \"a\",}", "\xff"}) {
        cr_assert(!faultPositions(text).empty(), "accepted %s", text);
    }
    cr_assert(readSettings("f", std::string(std::size_t{2} << 20U, ' ')).faults().at(0).kind == ErrorKind::TooLarge);
    const auto missing = readSettingsFile("/nonexistent/proxy.json");
    cr_assert(missing.faults().at(0).kind == ErrorKind::InvalidSettings);
}
