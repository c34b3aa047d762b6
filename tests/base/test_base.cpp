// Tests of identifiers, marks, errors and the generator.
#include "base/errorkind.h"
#include "base/hash.h"
#include "base/ids.h"
#include "base/logposition.h"
#include "base/random.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <sstream>

using namespace cardamomstep;

Test(base, marksRoundTripAsText)
{
    const bool holds = rc::check("marks round trip", [](std::uint64_t number, std::uint64_t proposer, std::uint64_t position) {
        const Mark mark{Term{number, proposer}, position};
        const auto read = parseMark(toText(mark));
        RC_ASSERT(bool(read));
        RC_ASSERT(*read == mark);
    });
    cr_assert(holds);
}

Test(base, malformedMarksAreRefused)
{
    for (const char *text : {"", "7", "7.x", "7.1f", "7.1f/", "7.1f/-1", "7.1f/99999999999999999999", "a.1/1", "7.1f/1 "}) {
        const auto read = parseMark(text);
        cr_assert(!read, "accepted %s", text);
        cr_assert(read.error().kind == ErrorKind::MalformedRequest);
    }
}

Test(base, higherTermOutranksHigherPosition)
{
    cr_assert((Mark{Term{2, 0}, 1} > Mark{Term{1, 9}, 100}));
    cr_assert((Mark{Term{1, 2}, 1} > Mark{Term{1, 1}, 100}));
}

Test(base, everyErrorKindHasAnAnswer)
{
    for (std::size_t index = 0; index < errorKindCount; ++index) {
        const auto kind = static_cast<ErrorKind>(index);
        const auto &rule = answerRule(kind);
        cr_assert(rule.status >= 400 && rule.status < 600);
        ErrorKind found{};
        cr_assert(errorKindFromName(rule.name, found));
        cr_assert(found == kind);
        const std::error_code code = kind;
        cr_assert(code.value() != 0);
        cr_assert(code.message() == rule.summary);
    }
}

Test(base, errorsNameTheirPosition)
{
    Error error{ErrorKind::InvalidSettings, "expected a number"};
    error.position = SourcePosition{"proxy.json", 7, "limits.callers"};
    std::ostringstream out;
    out << error;
    cr_assert(out.str() == "proxy.json:7: limits.callers: invalid-settings: expected a number");
}

Test(base, generatorsWithOneSeedAgree)
{
    Random first{7};
    Random second{7};
    for (int round = 0; round < 100; ++round) {
        cr_assert(first() == second());
    }
    cr_assert(stableHash("a") != stableHash("b"));
}
