// The records that a command reads from files, folders or standard input.
#pragma once

#include "records/record.h"
#include "json/checked.h"

#include <string>
#include <vector>

namespace cardamomstep::cli::impl {

/// A record and the file that it came from.
struct SourceRecord {
    std::string file;
    Record record;
};

/// Reads the records in \a path: a file, a folder (its *.json files by name), or "-" for standard input.
///
/// The records come in the order in which they can be applied: groups, intents, plans. All faults of all files come at once.
[[nodiscard]] Checked<std::vector<SourceRecord>> readSources(const std::string &path);

} // namespace cardamomstep::cli::impl
