// Reads records from files, folders or standard input.
#include "cli/impl/sources.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <set>
#include <utility>

namespace cardamomstep::cli::impl {

namespace {

Error unreadable(const std::string &file)
{
    Error error{ErrorKind::InvalidRecord, "the file cannot be read"};
    error.position = SourcePosition{file, 0, {}};
    return error;
}

Result<std::vector<std::string>> filesIn(const std::string &path)
{
    std::error_code fault;
    if (!std::filesystem::is_directory(path, fault)) {
        return std::vector<std::string>{path};
    }
    std::vector<std::string> files;
    for (std::filesystem::directory_iterator entry(path, fault), end; !fault && entry != end; entry.increment(fault)) {
        if (entry->path().extension() == ".json") {
            files.push_back(entry->path().string());
        }
    }
    if (fault) {
        return unreadable(path);
    }
    std::sort(files.begin(), files.end());
    return files;
}

Result<std::string> readText(const std::string &file)
{
    if (file == "-") {
        return std::string{std::istreambuf_iterator<char>(std::cin), std::istreambuf_iterator<char>()};
    }
    std::ifstream in(file, std::ios::binary);
    std::string text{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
    if (!in) {
        return unreadable(file);
    }
    return text;
}

void readFile(const std::string &file, std::vector<SourceRecord> &records, std::vector<Error> &faults)
{
    const auto text = readText(file);
    if (!text) {
        faults.push_back(text.error());
        return;
    }
    auto read = readRecords(file, *text);
    if (!read) {
        faults.insert(faults.end(), read.faults().begin(), read.faults().end());
        return;
    }
    for (auto &record : *read) {
        records.push_back({file, std::move(record)});
    }
}

/// Reports duplicate records.
void checkDuplicates(const std::vector<SourceRecord> &records, std::vector<Error> &faults)
{
    std::set<RecordKey> seen;
    for (const auto &source : records) {
        if (!seen.insert(source.record.key()).second) {
            Error error{ErrorKind::InvalidRecord, toText(source.record.key()) + " is defined twice"};
            error.position = SourcePosition{source.file, 0, {}};
            faults.push_back(std::move(error));
        }
    }
}

} // namespace

Checked<std::vector<SourceRecord>> readSources(const std::string &path)
{
    const auto files = filesIn(path);
    if (!files) {
        return std::vector<Error>{files.error()};
    }
    std::vector<SourceRecord> records;
    std::vector<Error> faults;
    for (const auto &file : *files) {
        readFile(file, records, faults);
    }
    checkDuplicates(records, faults);
    if (!faults.empty()) {
        return faults;
    }
    std::stable_sort(records.begin(), records.end(), [](const SourceRecord &left, const SourceRecord &right) {
        return left.record.kind() < right.record.kind();
    });
    return records;
}

} // namespace cardamomstep::cli::impl
