// Reads the store's JSON answers.
#pragma once

#include "base/result.h"
#include "store/object.h"

#include <optional>
#include <string_view>
#include <vector>

namespace cardamomstep::impl {

// Malformed answers are StoreUnavailable: the store gave no usable answer.

/// The version in the answer to a write; nothing when there is none.
[[nodiscard]] std::optional<Revision> parseVersion(std::string_view body);
/// One object.
[[nodiscard]] Result<StoredObject> parseObject(std::string_view body);
/// A listing.
[[nodiscard]] Result<StoreListing> parseListing(std::string_view body);
/// The answer to a watch after \a after.
[[nodiscard]] Result<StoreChanges> parseChanges(std::string_view body, Revision after);
/// The instance list.
[[nodiscard]] Result<std::vector<ListedInstance>> parseInstances(std::string_view body);

} // namespace cardamomstep::impl
