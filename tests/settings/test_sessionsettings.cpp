// Tests of the session proxy's settings.
#include "settings/sessionsettings.h"

#include <criterion/criterion.h>

using namespace cardamomstep;

namespace {

const std::string validText = R"({"instance": "one", "failureDomain": "a",
  "listen": {"callers": "127.0.0.1:1", "readiness": "127.0.0.1:2", "peers": "127.0.0.1:3"},
  "store": "127.0.0.1:4", "promotions": "127.0.0.1:5", "stopGraceMs": 6000, "later": {"unknown": 1}})";

} // namespace

Test(settings, sessionSettingsIgnoreUnknownKeys)
{
    const auto read = readSessionSettings("s.json", validText);
    cr_assert(static_cast<bool>(read));
    cr_assert(read->listen.metrics.empty());
    cr_assert(read->stopGrace == Milliseconds{6000});
}

Test(settings, sessionSettingsReportEachFault)
{
    const auto read = readSessionSettings("s.json", R"({"instance": "", "listen": {"callers": "nowhere"}})");
    cr_assert(!read);
    cr_assert(read.faults().size() >= 5);
    for (const auto &fault : read.faults()) {
        cr_assert(fault.kind == ErrorKind::InvalidSettings && fault.position.has_value());
    }
}
