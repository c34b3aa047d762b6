// Records the line of each key path from the parser's SAX events.
#include "json/located.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <set>

namespace cardamomstep::json {

namespace {

/// Counts the lines of the text read so far.
struct LineCounter {
    /// Line of the last character read.
    std::uint32_t line = 1;
    bool afterNewline = false;

    void read(char character) noexcept
    {
        line += afterNewline ? 1 : 0;
        afterNewline = character == '\n';
    }
};

/// An input iterator over a text that counts lines as it advances.
class CountingIterator
{
public:
    // Names set by the standard library.
    // NOLINTBEGIN(readability-identifier-naming)
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = const char *;
    using reference = const char &;
    // NOLINTEND(readability-identifier-naming)

    CountingIterator(const char *cursor, LineCounter &counter)
        : cursor_(cursor)
        , counter_(&counter)
    {
    }

    reference operator*() const noexcept
    {
        return *cursor_;
    }

    CountingIterator &operator++() noexcept
    {
        counter_->read(*cursor_);
        ++cursor_;
        return *this;
    }

    bool operator==(const CountingIterator &other) const noexcept
    {
        return cursor_ == other.cursor_;
    }

    bool operator!=(const CountingIterator &other) const noexcept
    {
        return cursor_ != other.cursor_;
    }

private:
    const char *cursor_;
    LineCounter *counter_;
};

/// Builds a LineIndex from the parser's SAX events; the parser prescribes the function names.
class LineIndexBuilder
{
public:
    LineIndexBuilder(LineIndex &index, const LineCounter &counter, std::size_t maxDepth)
        : index_(index)
        , counter_(counter)
        , maxDepth_(maxDepth)
    {
    }

    bool null()
    {
        return value();
    }
    bool boolean(bool /*value*/)
    {
        return value();
    }
    bool number_integer(std::int64_t /*value*/) // NOLINT(readability-identifier-naming)
    {
        return value();
    }
    bool number_unsigned(std::uint64_t /*value*/) // NOLINT(readability-identifier-naming)
    {
        return value();
    }
    bool number_float(double /*value*/, const std::string & /*text*/) // NOLINT(readability-identifier-naming)
    {
        return value();
    }
    bool string(std::string & /*value*/)
    {
        return value();
    }
    bool binary(nlohmann::json::binary_t & /*value*/)
    {
        return value();
    }

    bool start_object(std::size_t /*count*/) // NOLINT(readability-identifier-naming)
    {
        return open(false);
    }
    bool end_object() // NOLINT(readability-identifier-naming)
    {
        return close();
    }
    bool start_array(std::size_t /*count*/) // NOLINT(readability-identifier-naming)
    {
        return open(true);
    }
    bool end_array() // NOLINT(readability-identifier-naming)
    {
        return close();
    }

    bool key(std::string &name)
    {
        auto &level = levels_.back();
        level.current = childPath(level.path, name);
        if (!level.keys.insert(name).second) {
            index_.addDuplicate({level.current, counter_.line});
        }
        index_.add(level.current, counter_.line);
        return true;
    }

    bool parse_error(std::size_t /*position*/, // NOLINT(readability-identifier-naming)
                     const std::string &lastToken,
                     const nlohmann::json::exception & /*fault*/)
    {
        lastToken_ = lastToken;
        return false;
    }

    [[nodiscard]] bool tooDeep() const noexcept
    {
        return tooDeep_;
    }

    [[nodiscard]] const std::string &lastToken() const noexcept
    {
        return lastToken_;
    }

private:
    struct Level {
        std::string path;
        bool isArray = false;
        std::size_t nextElement = 0;
        /// Path of the value being read.
        std::string current;
        std::set<std::string> keys;
    };

    /// Starts a value and returns its path; records the line of an array element.
    std::string beginValue()
    {
        if (levels_.empty()) {
            return {};
        }
        auto &level = levels_.back();
        if (level.isArray) {
            level.current = elementPath(level.path, level.nextElement++);
            index_.add(level.current, counter_.line);
        }
        return level.current;
    }

    bool value()
    {
        beginValue();
        return true;
    }

    bool open(bool isArray)
    {
        Level level;
        level.path = beginValue();
        level.isArray = isArray;
        levels_.push_back(std::move(level));
        tooDeep_ = levels_.size() > maxDepth_;
        return !tooDeep_;
    }

    bool close()
    {
        levels_.pop_back();
        return true;
    }

    LineIndex &index_;
    const LineCounter &counter_;
    std::size_t maxDepth_;
    std::vector<Level> levels_;
    std::string lastToken_;
    bool tooDeep_ = false;
};

Error errorOnLine(ErrorKind kind, std::string description, std::uint32_t line)
{
    Error error{kind, std::move(description)};
    error.position = SourcePosition{{}, line, {}};
    return error;
}

/// Returns the end of \a token, without control characters and short enough to print.
std::string printable(const std::string &token)
{
    constexpr std::size_t maxLength = 40;
    std::string text = token.size() > maxLength ? token.substr(token.size() - maxLength) : token;
    std::replace_if(
        text.begin(), text.end(), [](unsigned char character) { return character < ' '; }, ' ');
    return text;
}

} // namespace

std::uint32_t LineIndex::line(std::string_view path) const
{
    auto wanted = std::string(path);
    while (!wanted.empty()) {
        const auto found = lines_.find(wanted);
        if (found != lines_.end()) {
            return found->second;
        }
        const auto cut = wanted.find_last_of(".[");
        wanted.resize(cut == std::string::npos ? 0 : cut);
    }
    return 1;
}

void LineIndex::add(const std::string &path, std::uint32_t line)
{
    lines_.insert_or_assign(path, line);
}

Result<LineIndex> locateKeys(std::string_view text, const TextLimits &limits)
{
    if (text.size() > limits.maxBytes) {
        return errorOnLine(ErrorKind::TooLarge, "the text has more than " + std::to_string(limits.maxBytes) + " bytes", 0);
    }
    LineIndex index;
    LineCounter counter;
    LineIndexBuilder builder(index, counter, limits.maxDepth);
    const CountingIterator begin(text.data(), counter);
    const CountingIterator end(text.data() + text.size(), counter);
    if (nlohmann::json::sax_parse(begin, end, &builder)) {
        return index;
    }
    if (builder.tooDeep()) {
        return errorOnLine(ErrorKind::TooLarge, "more than " + std::to_string(limits.maxDepth) + " levels of nesting", counter.line);
    }
    return errorOnLine(ErrorKind::MalformedRequest, "expected JSON, got \"" + printable(builder.lastToken()) + "\"", counter.line);
}

std::string childPath(std::string_view parent, std::string_view key)
{
    std::string path(parent);
    if (!path.empty()) {
        path += '.';
    }
    path += key;
    return path;
}

std::string elementPath(std::string_view parent, std::size_t index)
{
    return std::string(parent) + "[" + std::to_string(index) + "]";
}

} // namespace cardamomstep::json
