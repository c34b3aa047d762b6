// Locates the keys of a JSON text: lines by key path, duplicate keys, limits on size and depth.
#pragma once

#include "base/error.h"
#include "base/result.h"
#include "json/fwd.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cardamomstep::json {

/// Limits on a text.
struct TextLimits {
    std::size_t maxBytes = std::size_t{1} << 20U;
    /// Maximum nesting depth of objects and arrays.
    std::size_t maxDepth = 32;
};

/// A key that occurs more than once in an object.
struct DuplicateKey {
    std::string path;
    /// Line of the later occurrence.
    std::uint32_t line = 0;
};

/// The lines of a text's keys.
///
/// A path joins keys with dots and has array indices in brackets, for example "seeds[1].address"; the path of the whole text is "".
class LineIndex
{
public:
    /// Returns the line of \a path, or of its nearest known parent if the path is not in the text; 1 if there is none.
    [[nodiscard]] std::uint32_t line(std::string_view path) const;

    /// Records that \a path is on \a line; replaces an earlier line of the path, as the last of duplicate keys prevails.
    void add(const std::string &path, std::uint32_t line);

    /// Returns the duplicate keys.
    [[nodiscard]] const std::vector<DuplicateKey> &duplicates() const noexcept
    {
        return duplicates_;
    }

    /// Records a duplicate key.
    void addDuplicate(DuplicateKey duplicate)
    {
        duplicates_.push_back(std::move(duplicate));
    }

private:
    std::unordered_map<std::string, std::uint32_t> lines_;
    std::vector<DuplicateKey> duplicates_;
};

/// Returns the lines of all keys in \a text.
///
/// The error is ErrorKind::TooLarge if a limit is exceeded and ErrorKind::MalformedRequest if the text is not JSON; its
/// position has the line, but no file.
[[nodiscard]] Result<LineIndex> locateKeys(std::string_view text, const TextLimits &limits = {});

/// Returns the path of \a key inside \a parent.
[[nodiscard]] std::string childPath(std::string_view parent, std::string_view key);

/// Returns the path of element \a index inside the array \a parent.
[[nodiscard]] std::string elementPath(std::string_view parent, std::size_t index);

} // namespace cardamomstep::json
