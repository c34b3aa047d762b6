// A record as a JSON value, for the parts of this slice that work on whole values.
#pragma once

#include "records/record.h"

#include <nlohmann/json.hpp>

#include <string>

namespace cardamomstep::impl {

/// The whole envelope of \a record in the form \a schema.
[[nodiscard]] nlohmann::json toJson(const Record &record, SchemaVersion schema);

/// The key whose distinct texts tell the elements of \a array apart; empty when there is none or it is no array.
[[nodiscard]] std::string identityOf(const nlohmann::json &array);

} // namespace cardamomstep::impl
