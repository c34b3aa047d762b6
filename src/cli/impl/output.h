// Writes tables, JSON and errors to the streams of a command.
#pragma once

#include "base/error.h"
#include "base/result.h"
#include "records/kind.h"

#include <nlohmann/json.hpp>

#include <ostream>
#include <string>
#include <vector>

namespace cardamomstep::cli::impl {

/// Writes \a rows under \a header, in columns as wide as their widest cell.
void writeTable(std::ostream &out, const std::vector<std::string> &header, const std::vector<std::vector<std::string>> &rows);

/// Writes \a value as indented JSON and a newline.
void writeJson(std::ostream &out, const nlohmann::json &value);

/// Writes a line "field: before -> after" for each of the \a changes of an answer.
void writeChanges(std::ostream &out, const nlohmann::json &changes);

/// Writes each of \a faults on a line that begins with "cardamomstep: " and \a subject; returns the exit code of the first.
int reportFaults(std::ostream &err, const std::string &subject, const std::vector<Error> &faults);

/// The record kind with the name \a text; the error names the nearest one.
[[nodiscard]] Result<RecordKind> readKind(const std::string &text);

/// The table cell for the field \a key of \a value: strings without quotes, empty when the field is missing or null.
[[nodiscard]] std::string cell(const nlohmann::json &value, const char *key);

/// Formats \a wallMs, milliseconds since 1970, as "2026-01-31T08:05:09Z".
[[nodiscard]] std::string timeText(std::int64_t wallMs);

} // namespace cardamomstep::cli::impl
