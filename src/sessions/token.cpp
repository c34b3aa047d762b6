// Text form, merging and checking of session tokens.
#include "sessions/token.h"

#include "base/hash.h"
#include "sessions/impl/percent.h"

#include <algorithm>
#include <cstdint>

namespace cardamomstep {

namespace {

constexpr std::string_view version = "c1!";
constexpr std::size_t checksumBytes = 8;
/// Longest text of a mark: two 20-digit numbers, a 16-digit one and two separators.
constexpr std::size_t maxMarkBytes = 20 + 1 + 16 + 1 + 20;
/// Longest entry: name, `=`, mark and `,`.
constexpr std::size_t maxEntryBytes = SessionToken::maxGroupBytes + 1 + maxMarkBytes + 1;

static_assert(version.size() + SessionToken::maxGroups * maxEntryBytes + 1 + checksumBytes <= SessionToken::maxBytes,
              "every token within the bound of groups fits the bound of bytes");

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

Error invalid(std::string what)
{
    return Error{ErrorKind::InvalidToken, "session token: " + std::move(what)};
}

Result<SessionToken::Entry> parseEntry(std::string_view text)
{
    const auto equals = text.find('=');
    if (equals == std::string_view::npos || equals == 0 || equals > SessionToken::maxGroupBytes) {
        return invalid("malformed entry");
    }
    auto group = impl::percentDecoded(text.substr(0, equals));
    const auto position = parseLogPosition(text.substr(equals + 1));
    if (!group || !position) {
        return invalid("malformed entry");
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
        return invalid("too long");
    }
    if (text.substr(0, version.size()) != version) {
        return invalid("unknown version");
    }
    const auto bang = text.rfind('!');
    if (bang < version.size() || text.substr(bang + 1) != checksumOf(text.substr(0, bang))) {
        return invalid("damaged");
    }
    SessionToken token;
    auto rest = text.substr(version.size(), bang - version.size());
    for (;;) {
        const auto comma = rest.find(',');
        auto entry = parseEntry(rest.substr(0, comma));
        if (!entry) {
            return entry.error();
        }
        if (!token.entries_.empty() && entry->group <= token.entries_.back().group) {
            return invalid("groups out of order");
        }
        if (token.entries_.size() == maxGroups) {
            return invalid("too many groups");
        }
        token.entries_.push_back(*std::move(entry));
        if (comma == std::string_view::npos) {
            return token;
        }
        rest.remove_prefix(comma + 1);
    }
}

std::string SessionToken::format() const
{
    if (entries_.empty()) {
        return {};
    }
    std::string text{version};
    for (const auto &entry : entries_) {
        if (&entry != &entries_.front()) {
            text += ',';
        }
        text += impl::percentEncoded(entry.group.text());
        text += '=';
        text += toText(entry.position);
    }
    const auto checksum = checksumOf(text);
    return text + "!" + checksum;
}

std::optional<LogPosition> SessionToken::find(const GroupName &group) const
{
    const auto place = lowerBound(entries_, group);
    if (place == entries_.end() || place->group != group) {
        return std::nullopt;
    }
    return place->position;
}

Result<Success> SessionToken::checkCapacity(const GroupName &group) const
{
    if (find(group)) {
        return Success{};
    }
    if (entries_.size() == maxGroups) {
        return Error{ErrorKind::TooLarge, "the session token names " + std::to_string(maxGroups) + " groups already"};
    }
    if (group.empty() || impl::percentEncoded(group.text()).size() > maxGroupBytes) {
        return Error{ErrorKind::TooLarge, "the group's name does not fit a session token"};
    }
    return Success{};
}

Result<Success> SessionToken::merge(const GroupName &group, const LogPosition &position)
{
    auto room = checkCapacity(group);
    if (!room) {
        return room;
    }
    const auto place = entries_.begin() + (lowerBound(entries_, group) - entries_.cbegin());
    if (place == entries_.end() || place->group != group) {
        entries_.insert(place, Entry{group, position});
        return Success{};
    }
    place->position = std::max(place->position, position);
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
