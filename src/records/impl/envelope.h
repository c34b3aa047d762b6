// A record as a JSON value, for the code of this module that works on whole values.
#pragma once

#include "records/record.h"

#include <nlohmann/json.hpp>

#include <string>

namespace cardamomstep::impl {

/// Returns the complete envelope of \a record in the schema version \a schema.
[[nodiscard]] nlohmann::json toJson(const Record &record, SchemaVersion schema);

/// Returns the key whose distinct texts identify the elements of \a array; empty when there is none or the value is not an array.
[[nodiscard]] std::string identityOf(const nlohmann::json &array);

} // namespace cardamomstep::impl
