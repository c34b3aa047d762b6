// Text form, merging and checking of session tokens.
#include "sessions/token.h"

#include "base/hash.h"
#include "base/percent.h"

#include <algorithm>
#include <cstdint>

namespace cardamomstep {

namespace {

constexpr std::string_view versionPrefix = "c1!";
constexpr std::size_t checksumBytes = 8;
/// The longest text of a log position: two 20-digit numbers, a 16-digit one and two separators.
constexpr std::size_t maxPositionBytes = 20 + 1 + 16 + 1 + 20;
/// The longest entry: name, `=`, position and `,`.
constexpr std::size_t maxEntryBytes = SessionToken::maxGroupBytes + 1 + maxPositionBytes + 1;

static_assert(versionPrefix.size() + SessionToken::maxGroups * maxEntryBytes + 1 + checksumBytes <= SessionToken::maxBytes,
              "a token with maxGroups groups must fit maxBytes");

std::string checksumOf(std::string_view text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned bitsPerDigit = 4;
    auto hash = stableHash(text);
    std::string checksum;
    for (std::size_t index = 0; index < checksumBytes; ++index) {
        checksum += digits[hash % digits.size()];
        hash >>= bitsPerDigit;
    }
    return checksum;
}

Error invalidToken(std::string reason)
{
    return Error{ErrorKind::InvalidToken, "session token: " + std::move(reason)};
}

Result<SessionToken::Entry> parseEntry(std::string_view text)
{
    const auto equals = text.find('=');
    if (equals == std::string_view::npos || equals == 0 || equals > SessionToken::maxGroupBytes) {
        return invalidToken("an entry is malformed");
    }
    auto group = percentDecoded(text.substr(0, equals));
    const auto position = parseLogPosition(text.substr(equals + 1));
    if (!group || !position) {
        return invalidToken("an entry is malformed");
    }
    return SessionToken::Entry{GroupName{std::move(*group)}, *position};
}

auto lowerBound(const std::vector<SessionToken::Entry> &entries, const GroupName &group)
{
    return std::lower_bound(entries.begin(), entries.end(), group, [](const SessionToken::Entry &entry, const GroupName &wanted) {
        return entry.group < wanted;
    });
}

} // namespace

Result<SessionToken> SessionToken::parse(std::string_view text)
{
    if (text.empty()) {
        return SessionToken{};
    }
    if (text.size() > maxBytes) {
        return invalidToken("it is too long");
    }
    if (text.substr(0, versionPrefix.size()) != versionPrefix) {
        return invalidToken("its version is unknown");
    }
    const auto checksumSeparator = text.rfind('!');
    if (checksumSeparator < versionPrefix.size() || text.substr(checksumSeparator + 1) != checksumOf(text.substr(0, checksumSeparator))) {
        return invalidToken("damaged");
    }
    SessionToken token;
    auto unparsed = text.substr(versionPrefix.size(), checksumSeparator - versionPrefix.size());
    for (;;) {
        const auto comma = unparsed.find(',');
        auto entry = parseEntry(unparsed.substr(0, comma));
        if (!entry) {
            return entry.error();
        }
        if (!token.entries_.empty() && entry->group <= token.entries_.back().group) {
            return invalidToken("its groups are not in ascending order");
        }
        if (token.entries_.size() == maxGroups) {
            return invalidToken("it names too many groups");
        }
        token.entries_.push_back(*std::move(entry));
        if (comma == std::string_view::npos) {
            return token;
        }
        unparsed.remove_prefix(comma + 1);
    }
}

std::string SessionToken::format() const
{
    if (entries_.empty()) {
        return {};
    }
    std::string text{versionPrefix};
    for (const auto &entry : entries_) {
        if (&entry != &entries_.front()) {
            text += ',';
        }
        text += percentEncoded(entry.group.text());
        text += '=';
        text += toText(entry.position);
    }
    const auto checksum = checksumOf(text);
    return text + "!" + checksum;
}

std::optional<LogPosition> SessionToken::find(const GroupName &group) const
{
    const auto existing = lowerBound(entries_, group);
    if (existing == entries_.end() || existing->group != group) {
        return std::nullopt;
    }
    return existing->position;
}

Result<Success> SessionToken::checkCapacity(const GroupName &group) const
{
    if (find(group)) {
        return Success{};
    }
    if (entries_.size() == maxGroups) {
        return Error{ErrorKind::TooLarge, "the session token already names the maximum of " + std::to_string(maxGroups) + " groups"};
    }
    if (group.empty() || percentEncoded(group.text()).size() > maxGroupBytes) {
        return Error{ErrorKind::TooLarge, "the group's name is empty or too long for a session token"};
    }
    return Success{};
}

Result<Success> SessionToken::merge(const GroupName &group, const LogPosition &position)
{
    auto capacity = checkCapacity(group);
    if (!capacity) {
        return capacity;
    }
    const auto existing = entries_.begin() + (lowerBound(entries_, group) - entries_.cbegin());
    if (existing == entries_.end() || existing->group != group) {
        entries_.insert(existing, Entry{group, position});
        return Success{};
    }
    existing->position = std::max(existing->position, position);
    return Success{};
}

TokenStanding
checkAgainst(const LogPosition &position, const LogPosition &highestReported, const std::optional<LogPosition> &confirmed) noexcept
{
    if (position <= highestReported || (confirmed && position <= *confirmed)) {
        return TokenStanding::Reached;
    }
    return confirmed ? TokenStanding::Ahead : TokenStanding::Unproven;
}

} // namespace cardamomstep
