// Counts a process' calls to the store.
#pragma once

#include "store/object.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace cardamomstep {

/// Calls by kind of object and purpose; shared by all clients of the store in one process. Not thread-safe.
class StoreCalls
{
public:
    /// \a purpose is one of "list", "watch", "create", "replace" and "remove". Each page of a listing is a call.
    void count(const ObjectKind &kind, std::string_view purpose)
    {
        ++calls_[{kind.text(), std::string(purpose)}];
    }

    [[nodiscard]] const std::map<std::pair<std::string, std::string>, std::uint64_t> &all() const noexcept
    {
        return calls_;
    }

private:
    std::map<std::pair<std::string, std::string>, std::uint64_t> calls_;
};

} // namespace cardamomstep
