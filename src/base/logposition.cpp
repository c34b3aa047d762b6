// Text forms of terms and marks.
#include "base/logposition.h"

#include <charconv>
#include <optional>

namespace cardamomstep {

namespace {

constexpr int decimal = 10;
constexpr int hexadecimal = 16;

std::optional<std::uint64_t> parseNumber(std::string_view text, int base)
{
    std::uint64_t value = 0;
    const auto *end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, value, base);
    if (read.ec != std::errc{} || read.ptr != end) {
        return std::nullopt;
    }
    return value;
}

Error malformed(std::string_view what, std::string_view text)
{
    return Error{ErrorKind::MalformedRequest, std::string(what) + " is malformed: \"" + std::string(text.substr(0, 64)) + "\""};
}

} // namespace

std::string toText(const Term &term)
{
    char digits[hexadecimal + 1] = {};
    const auto written = std::to_chars(digits, digits + hexadecimal, term.proposer, hexadecimal);
    return std::to_string(term.number) + "." + std::string(digits, written.ptr);
}

std::string toText(const Mark &mark)
{
    return toText(mark.term) + "/" + std::to_string(mark.position);
}

Result<Term> parseTerm(std::string_view text)
{
    const auto dot = text.find('.');
    if (dot == std::string_view::npos) {
        return malformed("term", text);
    }
    const auto number = parseNumber(text.substr(0, dot), decimal);
    const auto proposer = parseNumber(text.substr(dot + 1), hexadecimal);
    if (!number || !proposer) {
        return malformed("term", text);
    }
    return Term{*number, *proposer};
}

Result<Mark> parseMark(std::string_view text)
{
    const auto slash = text.find('/');
    if (slash == std::string_view::npos) {
        return malformed("log mark", text);
    }
    const auto term = parseTerm(text.substr(0, slash));
    const auto position = parseNumber(text.substr(slash + 1), decimal);
    if (!term || !position) {
        return malformed("log mark", text);
    }
    return Mark{*term, *position};
}

std::ostream &operator<<(std::ostream &out, const Term &term)
{
    return out << toText(term);
}

std::ostream &operator<<(std::ostream &out, const Mark &mark)
{
    return out << toText(mark);
}

} // namespace cardamomstep
