// Finds the ends of values by their brackets and quotes.
#include "json/rawjson.h"

#include <algorithm>
#include <cstddef>

namespace cardamomstep::json {

namespace {

/// Reads the outline of one object or array from front to back; each step returns false or nothing at text that does not fit.
class OutlineReader
{
public:
    explicit OutlineReader(std::string_view text)
        : text_(text)
    {
    }

    bool take(char expected)
    {
        skipBlanks();
        if (position_ >= text_.size() || text_[position_] != expected) {
            return false;
        }
        ++position_;
        return true;
    }

    /// Takes a string, and returns what stands between its quotes.
    std::optional<std::string_view> takeString()
    {
        if (!take('"')) {
            return std::nullopt;
        }
        const auto start = position_;
        if (!skipToStringEnd()) {
            return std::nullopt;
        }
        return text_.substr(start, position_ - 1 - start);
    }

    std::optional<std::string_view> takeValue()
    {
        skipBlanks();
        const auto start = position_;
        std::size_t depth = 0;
        while (position_ < text_.size()) {
            const char character = text_[position_];
            const bool closes = character == ']' || character == '}';
            if (depth == 0 && (closes || character == ',')) {
                break;
            }
            ++position_;
            if (character == '"' && !skipToStringEnd()) {
                return std::nullopt;
            }
            if (character == '[' || character == '{') {
                ++depth;
            } else if (closes) {
                --depth;
            }
        }
        const auto value = withoutBlanksAtEnd(text_.substr(start, position_ - start));
        return depth > 0 || value.empty() ? std::nullopt : std::optional(value);
    }

    /// Returns true if only blanks are left.
    bool atEnd()
    {
        skipBlanks();
        return position_ >= text_.size();
    }

private:
    static constexpr std::string_view blanks = " \t\r\n";

    void skipBlanks()
    {
        position_ = std::min(text_.find_first_not_of(blanks, position_), text_.size());
    }

    static std::string_view withoutBlanksAtEnd(std::string_view text)
    {
        return text.substr(0, text.find_last_not_of(blanks) + 1);
    }

    /// Continues behind the quote that ends the string in which the position is.
    bool skipToStringEnd()
    {
        while (position_ < text_.size()) {
            const char character = text_[position_];
            position_ += character == '\\' ? 2 : 1;
            if (character == '"') {
                return true;
            }
        }
        return false;
    }

    std::string_view text_;
    std::size_t position_ = 0;
};

} // namespace

std::optional<std::vector<RawField>> rawFieldsOf(std::string_view text)
{
    OutlineReader reader(text);
    if (!reader.take('{')) {
        return std::nullopt;
    }
    std::vector<RawField> fields;
    if (reader.take('}')) {
        return reader.atEnd() ? std::optional(fields) : std::nullopt;
    }
    do {
        const auto key = reader.takeString();
        if (!key || !reader.take(':')) {
            return std::nullopt;
        }
        const auto value = reader.takeValue();
        if (!value) {
            return std::nullopt;
        }
        fields.push_back({*key, *value});
    } while (reader.take(','));
    return reader.take('}') && reader.atEnd() ? std::optional(std::move(fields)) : std::nullopt;
}

std::optional<std::vector<std::string_view>> rawElementsOf(std::string_view text)
{
    OutlineReader reader(text);
    if (!reader.take('[')) {
        return std::nullopt;
    }
    std::vector<std::string_view> elements;
    if (reader.take(']')) {
        return reader.atEnd() ? std::optional(elements) : std::nullopt;
    }
    do {
        const auto value = reader.takeValue();
        if (!value) {
            return std::nullopt;
        }
        elements.push_back(*value);
    } while (reader.take(','));
    return reader.take(']') && reader.atEnd() ? std::optional(std::move(elements)) : std::nullopt;
}

std::string_view rawValueOf(const std::vector<RawField> &fields, std::string_view key) noexcept
{
    const auto found = std::find_if(fields.begin(), fields.end(), [key](const RawField &field) { return field.key == key; });
    return found == fields.end() ? std::string_view{} : found->value;
}

} // namespace cardamomstep::json
