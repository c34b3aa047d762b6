// Follows the parser's events to note on which line each key path begins.
#include "json/located.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <set>

namespace cardamomstep::json {

namespace {

/// Counts the lines that were read.
struct LineCounter {
    /// Line of the last character that was read.
    std::uint32_t line = 1;
    bool afterNewline = false;

    void read(char letter) noexcept
    {
        line += afterNewline ? 1 : 0;
        afterNewline = letter == '\n';
    }
};

/// An input iterator over a text that counts lines while it is advanced.
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

    CountingIterator(const char *place, LineCounter &counter)
        : place_(place)
        , counter_(&counter)
    {
    }

    reference operator*() const noexcept
    {
        return *place_;
    }

    CountingIterator &operator++() noexcept
    {
        counter_->read(*place_);
        ++place_;
        return *this;
    }

    bool operator==(const CountingIterator &other) const noexcept
    {
        return place_ == other.place_;
    }

    bool operator!=(const CountingIterator &other) const noexcept
    {
        return place_ != other.place_;
    }

private:
    const char *place_;
    LineCounter *counter_;
};

/// Receives the parser's events; function names are set by the parser.
class LineNoter
{
public:
    LineNoter(LineIndex &index, const LineCounter &counter, std::size_t maxDepth)
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
        /// Path of the value that is being read.
        std::string current;
        std::set<std::string> keys;
    };

    /// The path of the value that begins now.
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

Error located(ErrorKind kind, std::string description, std::uint32_t line)
{
    Error error{kind, std::move(description)};
    error.position = SourcePosition{{}, line, {}};
    return error;
}

/// \a token without control characters and short enough to print.
std::string printable(const std::string &token)
{
    constexpr std::size_t longest = 40;
    std::string text = token.size() > longest ? token.substr(token.size() - longest) : token;
    std::replace_if(
        text.begin(), text.end(), [](unsigned char letter) { return letter < ' '; }, ' ');
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
        return located(ErrorKind::TooLarge, "the text has more than " + std::to_string(limits.maxBytes) + " bytes", 0);
    }
    LineIndex index;
    LineCounter counter;
    LineNoter noter(index, counter, limits.maxDepth);
    const CountingIterator begin(text.data(), counter);
    const CountingIterator end(text.data() + text.size(), counter);
    if (nlohmann::json::sax_parse(begin, end, &noter)) {
        return index;
    }
    if (noter.tooDeep()) {
        return located(ErrorKind::TooLarge, "more than " + std::to_string(limits.maxDepth) + " levels of nesting", counter.line);
    }
    return located(ErrorKind::MalformedRequest, "expected JSON, got \"" + printable(noter.lastToken()) + "\"", counter.line);
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
