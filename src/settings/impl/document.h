// Reads any kind of settings from a text or a file.
#pragma once

#include "base/error.h"
#include "json/checked.h"
#include "json/document.h"

#include <fstream>
#include <iterator>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cardamomstep::settings::impl {

/// Parses \a text and converts its value by \a readAll, which adds faults to its second argument.
template<typename Settings, typename ReadAll>
[[nodiscard]] Checked<Settings> readDocument(const std::string &fileName, std::string_view text, ReadAll readAll)
{
    const auto document = json::parseDocument(fileName, text, ErrorKind::InvalidSettings);
    if (!document) {
        return std::vector<Error>{document.error()};
    }
    std::vector<json::Fault> faults;
    Settings settings = readAll(document->value, faults);
    auto errors = json::faultErrors(*document, ErrorKind::InvalidSettings, faults);
    if (!errors.empty()) {
        return errors;
    }
    return settings;
}

/// Reads the file and passes its name and text to \a read; a file that cannot be read is a fault.
template<typename Settings, typename Read>
[[nodiscard]] Checked<Settings> readFile(const std::string &fileName, Read read)
{
    std::ifstream file(fileName, std::ios::binary);
    const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    if (!file) {
        Error error{ErrorKind::InvalidSettings, "the file cannot be read"};
        error.position = SourcePosition{fileName, 0, {}};
        return std::vector<Error>{std::move(error)};
    }
    return read(fileName, text);
}

} // namespace cardamomstep::settings::impl
