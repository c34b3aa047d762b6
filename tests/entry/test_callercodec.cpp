// Tests of the decoding of callers' requests.
#include "entry/callercodec.h"

#include <criterion/criterion.h>

#include <string>

using namespace cardamomstep;

namespace {

http::Request readWithToken(std::size_t tokenBytes)
{
    http::Request request{"POST", "/v1/services/payroll/transactions", {}, {}, {}};
    request.headers["content-type"] = "application/json";
    request.body = R"({"key": "k", "session": ")" + std::string(tokenBytes, 'x') + "\"}";
    return request;
}

} // namespace

// A session token more than one byte too long was reported as malformed, so callers could not tell that it had grown too large.
Test(entry, aSessionTokenThatIsTooLongIsTooLargeHoweverLongItIs)
{
    entry::CallerLimits limits;
    limits.tokenBytes = 64;
    for (const std::size_t excess : {1U, 2U, 1'000U}) {
        const auto read = entry::readStatement(readWithToken(limits.tokenBytes + excess), limits);
        cr_assert(!read);
        cr_assert(read.error().kind == ErrorKind::TooLarge, "%zu bytes more: %s", excess, read.error().description.c_str());
    }
}
