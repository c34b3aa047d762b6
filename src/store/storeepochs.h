// The newest epoch of the store that a process has seen.
#pragma once

#include "store/object.h"

#include <functional>
#include <optional>
#include <utility>
#include <vector>

namespace cardamomstep {

/// A process' knowledge of the store's epoch changed.
struct StoreEpochChange {
    StoreEpoch epoch;
    /// True for the first reply of the store to this process, which shows nothing about earlier epochs.
    bool first = false;
};

/// Shared by all clients of the store in one process. Not thread-safe.
class StoreEpochs
{
public:
    using Handler = std::function<void(const StoreEpochChange &change)>;

    /// Registers \a handler for all later changes; handlers are called in the order of their registration.
    void onChange(Handler handler)
    {
        handlers_.push_back(std::move(handler));
    }

    /// The newest epoch seen; the lowest one before the first reply of the store.
    [[nodiscard]] StoreEpoch newest() const noexcept
    {
        return newest_.value_or(StoreEpoch{});
    }

    /// True once the store has replied to this process.
    [[nodiscard]] bool known() const noexcept
    {
        return newest_.has_value();
    }

    /// True once the store changed its epoch while this process ran.
    [[nodiscard]] bool risen() const noexcept
    {
        return risen_;
    }

    /// Records the epoch of a reply. Returns false when a reply of a later epoch was seen before, so that this one is outdated.
    [[nodiscard]] bool observe(StoreEpoch epoch)
    {
        if (newest_ && epoch <= *newest_) {
            return epoch == *newest_;
        }
        const bool first = !newest_;
        newest_ = epoch;
        risen_ = risen_ || !first;
        for (const auto &handler : handlers_) {
            handler({epoch, first});
        }
        return true;
    }

private:
    std::optional<StoreEpoch> newest_;
    bool risen_ = false;
    std::vector<Handler> handlers_;
};

} // namespace cardamomstep
