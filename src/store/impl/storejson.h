// Parses the store's JSON replies.
#pragma once

#include "base/result.h"
#include "store/object.h"

#include <optional>
#include <string_view>
#include <vector>

namespace cardamomstep::impl {

// The error for a malformed reply is StoreUnavailable, as without any reply.

/// Returns the version in the reply to a write, or nothing when there is none.
[[nodiscard]] std::optional<Revision> parseVersion(std::string_view body);
/// Parses one object.
[[nodiscard]] Result<StoredObject> parseObject(std::string_view body);
/// Parses a listing.
[[nodiscard]] Result<StoreListing> parseListing(std::string_view body);
/// Parses the reply to a watch after \a after.
[[nodiscard]] Result<StoreChanges> parseChanges(std::string_view body, Revision after);
/// Parses the instance list.
[[nodiscard]] Result<std::vector<ListedInstance>> parseInstances(std::string_view body);

} // namespace cardamomstep::impl
