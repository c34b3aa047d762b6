// The proxy's answer to a change of a record, checked and typed.
#pragma once

#include "base/result.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace cardamomstep::cli::impl {

/// The result of a change.
struct ChangeResult {
    /// False for a dry run and for a record that already had the requested content.
    bool written = false;
    /// The record's versions before and after the change; 0 for no record, equal when nothing was written.
    std::uint64_t fromVersion = 0;
    std::uint64_t version = 0;
    /// An array of objects with "field" and, where the field has such a value, "before" and "after".
    nlohmann::json changes = nlohmann::json::array();
    /// Fields that the proxy kept, but that its release doesn't know.
    std::vector<std::string> unknownFields;
    /// True when the change was made, but its audit entry could not be written.
    bool auditMissing = false;
};

/// Reads \a answer; the error is ErrorKind::CorruptAnswer, after which it is unknown whether the change was made.
[[nodiscard]] Result<ChangeResult> readChangeResult(const nlohmann::json &answer);

} // namespace cardamomstep::cli::impl
