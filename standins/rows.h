// Rows of a stand-in member and the operations on them.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace cardamomstep::standins {

/// One operation of a statement.
struct Operation {
    std::string name;
    std::string key;
    nlohmann::json arguments;
};

/// Rows by key.
using Rows = std::map<std::string, nlohmann::json>;

/// Rows with uncommitted changes applied on top.
class RowOverlay
{
public:
    /// Overlays \a changes on \a base; both must outlive the overlay.
    RowOverlay(const Rows &base, std::map<std::string, std::optional<nlohmann::json>> &changes)
        : base_(base)
        , changes_(changes)
    {
    }

    /// The value at \a key; none if there is no such row.
    [[nodiscard]] std::optional<nlohmann::json> find(const std::string &key) const;

    /// All rows whose keys start with \a prefix.
    [[nodiscard]] Rows list(const std::string &prefix) const;

    /// Sets the row \a key; no value deletes it.
    void set(const std::string &key, std::optional<nlohmann::json> value);

private:
    const Rows &base_;
    std::map<std::string, std::optional<nlohmann::json>> &changes_;
};

/// The result of an operation.
struct OperationResult {
    /// Set if the operation failed; no row was changed then.
    std::optional<std::string> failure;
    nlohmann::json rows = nlohmann::json::array();
};

/// Runs \a operation on \a overlay.
[[nodiscard]] OperationResult run(const Operation &operation, RowOverlay &overlay);

/// True for an operation that only reads.
[[nodiscard]] bool isReading(const Operation &operation);

} // namespace cardamomstep::standins
