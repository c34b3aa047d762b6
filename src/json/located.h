// Where each key of a JSON text stands: lines by key path, duplicate keys, bounds on size and depth.
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

/// Bounds on a text.
struct TextLimits {
    std::size_t maxBytes = std::size_t{1} << 20U;
    /// Deepest nesting of objects and arrays.
    std::size_t maxDepth = 32;
};

/// A key that stands twice in one object.
struct DuplicateKey {
    std::string path;
    /// Line of the later one.
    std::uint32_t line = 0;
};

/// The lines of a text's keys.
///
/// A path joins keys by dots and array elements by brackets, for example "seeds[1].address"; the whole text is "".
class LineIndex
{
public:
    /// The line of \a path; of its nearest known parent when the path is not in the text.
    [[nodiscard]] std::uint32_t line(std::string_view path) const;

    /// Notes that \a path stands on \a line; the last note of a path counts, as the last of duplicate keys does.
    void add(const std::string &path, std::uint32_t line);

    /// The keys that stand twice.
    [[nodiscard]] const std::vector<DuplicateKey> &duplicates() const noexcept
    {
        return duplicates_;
    }

    /// Notes a duplicate key.
    void addDuplicate(DuplicateKey duplicate)
    {
        duplicates_.push_back(std::move(duplicate));
    }

private:
    std::unordered_map<std::string, std::uint32_t> lines_;
    std::vector<DuplicateKey> duplicates_;
};

/// Reads the lines of all keys in \a text.
///
/// The error is ErrorKind::TooLarge above a limit and ErrorKind::MalformedRequest when the text is not JSON; its position
/// holds the line, and no file.
[[nodiscard]] Result<LineIndex> locateKeys(std::string_view text, const TextLimits &limits = {});

/// The path of \a key inside \a parent.
[[nodiscard]] std::string childPath(std::string_view parent, std::string_view key);

/// The path of element \a index inside the array \a parent.
[[nodiscard]] std::string elementPath(std::string_view parent, std::size_t index);

} // namespace cardamomstep::json
