// The session token: what a session has written, carried by the caller as compact text.
#pragma once

#include "base/ids.h"
#include "base/logposition.h"
#include "base/result.h"
#include "sessions/fwd.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomstep {

/// What is known about a mark that a token names.
enum class TokenStanding : std::uint8_t {
    Reached, ///< Some member was seen at or beyond it.
    Unproven, ///< Nobody was seen there; a round of reports decides.
    Ahead, ///< It lies beyond every acknowledged write, so the group never gave it out.
};

/// The writes of one session: for each database group, the mark of its last acknowledged write.
///
/// A token needs no state at any proxy, so a session may roam freely. Marks only grow. Nothing is ever dropped:
/// a request that would need one group more than maxGroups is refused before it runs; see checkRoom().
///
/// The text form is `c1!GROUP=MARK,GROUP=MARK!CHECKSUM` with groups in ascending order. Characters of group names
/// other than letters, digits, `-`, `_` and `.` are percent-encoded, so that the text fits an HTTP header.
class SessionToken
{
public:
    /// Groups that one token can name.
    static constexpr std::size_t maxGroups = 24;
    /// Bytes of a group's name in its encoded form.
    static constexpr std::size_t maxGroupBytes = 100;
    /// Bytes of the text form.
    static constexpr std::size_t maxBytes = 4096;

    /// What the session knows of one group.
    struct Entry {
        GroupName group;
        Mark mark;

        [[nodiscard]] bool operator==(const Entry &) const = default;
    };

    /// Reads a token that format() wrote.
    ///
    /// Empty text is the token of a new session. The error is ErrorKind::InvalidToken for text that is malformed,
    /// damaged, too long or of another version; it is never read as a new session.
    [[nodiscard]] static Result<SessionToken> parse(std::string_view text);

    /// The text form; never more than maxBytes. Empty for a token without groups.
    [[nodiscard]] std::string format() const;

    /// The mark of \a group; nothing when the session has not written there.
    [[nodiscard]] std::optional<Mark> find(const GroupName &group) const;

    /// Tells before a write whether its mark will fit; the error is ErrorKind::TooLarge.
    [[nodiscard]] Result<Success> checkRoom(const GroupName &group) const;

    /// Keeps the greater of \a mark and the mark known for \a group; the error is checkRoom()'s.
    [[nodiscard]] Result<Success> merge(const GroupName &group, const Mark &mark);

    /// All entries, in ascending order of groups.
    [[nodiscard]] const std::vector<Entry> &entries() const noexcept
    {
        return entries_;
    }

    [[nodiscard]] bool operator==(const SessionToken &) const = default;

private:
    /// Invariant: ascending by group, each group once, at most maxGroups, names within maxGroupBytes.
    std::vector<Entry> entries_;
};

/// Compares \a mark from a token with what the group reached.
///
/// \a highestSeen is the greatest log mark in any member's report. \a confirmed is the acknowledgedBound() of a round of reports
/// that began after the token arrived. Tokens hold acknowledged writes only, so a mark above both cannot stem from this group.
[[nodiscard]] TokenStanding checkAgainst(const Mark &mark, const Mark &highestSeen, const std::optional<Mark> &confirmed) noexcept;

} // namespace cardamomstep
