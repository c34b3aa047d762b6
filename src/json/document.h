// A parsed JSON text and the source positions of its keys.
#pragma once

#include "json/checked.h"
#include "json/located.h"
#include "json/reader.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace cardamomstep::json {

/// A parsed text and the lines of its keys.
struct Document {
    std::string file;
    nlohmann::json value;
    LineIndex lines;
};

/// Parses \a text; the error has the kind \a kind, or ErrorKind::TooLarge if a limit is exceeded.
[[nodiscard]] Result<Document> parseDocument(std::string file, std::string_view text, ErrorKind kind, const TextLimits &limits = {});

/// Returns an error of the kind \a kind for \a fault, with its position in \a document.
[[nodiscard]] Error faultError(const Document &document, ErrorKind kind, const Fault &fault);

/// Returns the errors for all \a faults and for the document's duplicate keys, ordered by line.
[[nodiscard]] std::vector<Error> faultErrors(const Document &document, ErrorKind kind, const std::vector<Fault> &faults);

} // namespace cardamomstep::json
