// Tests of session tokens: round trips, damage, size limits, merging and positions beyond the log.
#include "sessions/token.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

using namespace cardamomstep;

namespace {

LogPosition positionOf(std::uint64_t term, std::uint64_t position)
{
    return LogPosition{Term{term, 7}, position};
}

SessionToken sampleToken()
{
    SessionToken token;
    cr_assert(bool(token.merge(GroupName{"ledger-1"}, positionOf(3, 40))));
    cr_assert(bool(token.merge(GroupName{"pay tables,1=!%"}, positionOf(1, 7))));
    return token;
}

} // namespace

Test(sessions, tokensRoundTrip)
{
    const bool holds = rc::check("tokens round trip", [](const std::vector<std::pair<std::string, std::uint64_t>> &writes) {
        SessionToken token;
        for (const auto &[group, position] : writes) {
            (void)token.merge(GroupName{group}, positionOf(position % 5, position));
        }
        const auto text = token.format();
        RC_ASSERT(text.size() <= SessionToken::maxBytes);
        const auto read = SessionToken::parse(text);
        RC_ASSERT(bool(read));
        RC_ASSERT(*read == token);
    });
    cr_assert(holds);
}

Test(sessions, damagedTokensAreInvalid)
{
    const auto text = sampleToken().format();
    const bool holds = rc::check("damage is detected", [&]() {
        auto damaged = text;
        const auto damagedIndex = *rc::gen::inRange<std::size_t>(0, text.size());
        damaged[damagedIndex] = *rc::gen::distinctFrom(rc::gen::character<char>(), text[damagedIndex]);
        const auto read = SessionToken::parse(damaged);
        RC_ASSERT(!read);
        RC_ASSERT(read.error().kind == ErrorKind::InvalidToken);
    });
    cr_assert(holds);
}

Test(sessions, truncatedAndMalformedTokensAreInvalid)
{
    const auto text = sampleToken().format();
    for (std::size_t length = 1; length < text.size(); ++length) {
        cr_assert(!SessionToken::parse(text.substr(0, length)), "accepted %zu bytes", length);
    }
    for (const std::string malformed : {" ", "c1!", "c1!!", "c2!a=1.1/1!00000000", "null", "c1!a=1.1/1", "c1!=1.1/1!00000000"}) {
        const auto read = SessionToken::parse(malformed);
        cr_assert(!read && read.error().kind == ErrorKind::InvalidToken, "accepted %s", malformed.c_str());
    }
    cr_assert(!SessionToken::parse(std::string(SessionToken::maxBytes + 1, 'a')));
    cr_assert(SessionToken::parse("")->entries().empty());
}

Test(sessions, largestTokenFitsMaxBytes)
{
    SessionToken token;
    constexpr auto maxNumber = std::numeric_limits<std::uint64_t>::max();
    for (std::size_t index = 0; index < SessionToken::maxGroups; ++index) {
        auto name = std::string(SessionToken::maxGroupBytes, 'x');
        name[0] = static_cast<char>('a' + index);
        cr_assert(bool(token.merge(GroupName{name}, LogPosition{Term{maxNumber, maxNumber}, maxNumber})));
    }
    cr_assert(token.format().size() <= SessionToken::maxBytes);
    cr_assert(bool(SessionToken::parse(token.format())));
    const auto refused = token.checkCapacity(GroupName{"one more"});
    cr_assert(!refused && refused.error().kind == ErrorKind::TooLarge);
    cr_assert(refused.error().ran == Ran::No);
    cr_assert(token.entries().size() == SessionToken::maxGroups);
}

Test(sessions, mergeKeepsTheGreaterPositionInAnyOrder)
{
    const bool holds = rc::check("merge is a maximum", [](std::vector<std::pair<std::uint64_t, std::uint64_t>> positions) {
        SessionToken forward;
        SessionToken backward;
        const GroupName group{"g"};
        LogPosition greatest;
        for (const auto &[term, position] : positions) {
            greatest = std::max(greatest, positionOf(term, position));
            RC_ASSERT(bool(forward.merge(group, positionOf(term, position))));
        }
        std::reverse(positions.begin(), positions.end());
        for (const auto &[term, position] : positions) {
            RC_ASSERT(bool(backward.merge(group, positionOf(term, position))));
        }
        RC_ASSERT(forward == backward);
        RC_ASSERT(positions.empty() || forward.find(group) == greatest);
    });
    cr_assert(holds);
}

Test(sessions, tokenIsAheadOnlyAfterAConfirmedRound)
{
    const auto highestReported = positionOf(2, 100);
    cr_assert(checkAgainst(positionOf(2, 100), highestReported, std::nullopt) == TokenStanding::Reached);
    cr_assert(checkAgainst(positionOf(1, 900), highestReported, std::nullopt) == TokenStanding::Reached);
    cr_assert(checkAgainst(positionOf(2, 101), highestReported, std::nullopt) == TokenStanding::Unproven);
    cr_assert(checkAgainst(positionOf(2, 101), highestReported, positionOf(2, 100)) == TokenStanding::Ahead);
    cr_assert(checkAgainst(positionOf(3, 1), highestReported, positionOf(2, 400)) == TokenStanding::Ahead);
    cr_assert(checkAgainst(positionOf(2, 101), highestReported, positionOf(2, 101)) == TokenStanding::Reached);
}
