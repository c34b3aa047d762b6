// Combines the values of a JSON text with the lines of its keys.
#include "json/document.h"

#include <algorithm>
#include <utility>

namespace cardamomstep::json {

Result<Document> parseDocument(std::string file, std::string_view text, ErrorKind kind, const TextLimits &limits)
{
    auto lines = locateKeys(text, limits);
    if (!lines) {
        const auto errorKind = lines.error().kind == ErrorKind::TooLarge ? ErrorKind::TooLarge : kind;
        Error error{errorKind, lines.error().description};
        error.position = lines.error().position;
        error.position->file = std::move(file);
        return error;
    }
    auto value = nlohmann::json::parse(text, nullptr, false);
    return Document{std::move(file), std::move(value), std::move(*lines)};
}

Error faultError(const Document &document, ErrorKind kind, const Fault &fault)
{
    Error error{kind, fault.description};
    error.position = SourcePosition{document.file, document.lines.line(fault.path), fault.path};
    return error;
}

std::vector<Error> faultErrors(const Document &document, ErrorKind kind, const std::vector<Fault> &faults)
{
    std::vector<Error> errors;
    for (const auto &duplicate : document.lines.duplicates()) {
        Error error{kind, "duplicate key"};
        error.position = SourcePosition{document.file, duplicate.line, duplicate.path};
        errors.push_back(std::move(error));
    }
    for (const auto &fault : faults) {
        errors.push_back(faultError(document, kind, fault));
    }
    std::stable_sort(
        errors.begin(), errors.end(), [](const Error &left, const Error &right) { return left.position->line < right.position->line; });
    return errors;
}

} // namespace cardamomstep::json
