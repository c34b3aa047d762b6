// A JSON text that was parsed once, with all that turns a key path into a source position.
#pragma once

#include "json/checked.h"
#include "json/located.h"
#include "json/reader.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace cardamomstep::json {

/// A parsed text and where its keys stand.
struct Document {
    std::string file;
    nlohmann::json value;
    LineIndex lines;
};

/// Parses \a text; the one fault has the kind \a kind, or ErrorKind::TooLarge above a limit.
[[nodiscard]] Result<Document> parseDocument(std::string file, std::string_view text, ErrorKind kind, const TextLimits &limits = {});

/// The error of the kind \a kind for \a fault in \a document.
[[nodiscard]] Error faultError(const Document &document, ErrorKind kind, const Fault &fault);

/// The errors for all \a faults and for the document's duplicate keys, in order of their lines.
[[nodiscard]] std::vector<Error> faultErrors(const Document &document, ErrorKind kind, const std::vector<Fault> &faults);

} // namespace cardamomstep::json
