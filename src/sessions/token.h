// The session token: the log positions of a session's writes, which the caller sends along as compact text.
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

/// What is known about a log position that a token names.
enum class TokenStanding : std::uint8_t {
    Reached, ///< Some member was observed at or beyond it.
    Unproven, ///< No member was observed there; a round of reports decides.
    Ahead, ///< It lies beyond every acknowledged write, so the group never issued it.
};

/// The writes of one session: for each database group, the log position of its last acknowledged write.
///
/// A token needs no state at any proxy, so a session may use any proxy at any time. Positions only grow. No entry is ever dropped:
/// a request that would need one group more than maxGroups is refused before it runs; see checkCapacity().
///
/// The text form is `c1!GROUP=POSITION,GROUP=POSITION!CHECKSUM` with groups in ascending order. Characters of group names
/// other than letters, digits, `-`, `_` and `.` are percent-encoded, so that the text fits an HTTP header.
class SessionToken
{
public:
    /// The maximum number of groups that one token can name.
    static constexpr std::size_t maxGroups = 24;
    /// The maximum size of a group's name in its encoded form.
    static constexpr std::size_t maxGroupBytes = 100;
    /// The maximum size of the text form.
    static constexpr std::size_t maxBytes = 4096;

    /// The session's last acknowledged write in one group.
    struct Entry {
        GroupName group;
        LogPosition position;

        [[nodiscard]] bool operator==(const Entry &) const = default;
    };

    /// Parses the text form that format() returns.
    ///
    /// Empty text is the token of a new session. The error is ErrorKind::InvalidToken for text that is malformed,
    /// damaged, too long or of another version; such text is never treated as a new session.
    [[nodiscard]] static Result<SessionToken> parse(std::string_view text);

    /// Returns the text form: at most maxBytes, empty for a token without groups.
    [[nodiscard]] std::string format() const;

    /// Returns the log position of \a group; nothing when the session has not written there.
    [[nodiscard]] std::optional<LogPosition> find(const GroupName &group) const;

    /// Checks, before a write to \a group runs, that the token can hold its log position; the error is ErrorKind::TooLarge.
    [[nodiscard]] Result<Success> checkCapacity(const GroupName &group) const;

    /// Raises the position of \a group to \a position if that is greater; the error is that of checkCapacity().
    [[nodiscard]] Result<Success> merge(const GroupName &group, const LogPosition &position);

    /// All entries, in ascending order of group names.
    [[nodiscard]] const std::vector<Entry> &entries() const noexcept
    {
        return entries_;
    }

    [[nodiscard]] bool operator==(const SessionToken &) const = default;

private:
    /// Invariant: ascending by group, each group once, at most maxGroups, names within maxGroupBytes.
    std::vector<Entry> entries_;
};

/// Compares \a position from a token with the positions that the group reached.
///
/// \a highestReported is the greatest log position in any member's report. \a confirmed is the acknowledgedBound() of a round of
/// reports that began after the token arrived. Tokens hold acknowledged writes only, so a position above both cannot come from this
/// group.
[[nodiscard]] TokenStanding
checkAgainst(const LogPosition &position, const LogPosition &highestReported, const std::optional<LogPosition> &confirmed) noexcept;

} // namespace cardamomstep
