// Strongly typed identifiers, so that the name of one kind of thing is never taken for another's.
#pragma once

#include "base/fwd.h"

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace cardamomstep {

/// A string identifier that is distinct for each \a Tag.
///
/// Identifiers compare and hash as their text does and convert from text only explicitly.
///
/// Example: `const GroupName group{"ledger-1"};`
template<typename Tag>
class StrongId
{
public:
    StrongId() = default;

    /// Wraps \a text without checking it; checks belong to the place where text enters the process.
    explicit StrongId(std::string text) noexcept
        : text_(std::move(text))
    {
    }

    /// The identifier's text.
    [[nodiscard]] const std::string &text() const noexcept
    {
        return text_;
    }

    /// True when no text was set.
    [[nodiscard]] bool empty() const noexcept
    {
        return text_.empty();
    }

    [[nodiscard]] auto operator<=>(const StrongId &) const = default;
    [[nodiscard]] bool operator==(const StrongId &) const = default;

    friend std::ostream &operator<<(std::ostream &out, const StrongId &id)
    {
        return out << id.text_;
    }

private:
    std::string text_;
};

/// One running process of this system.
using InstanceName = StrongId<struct InstanceNameTag>;
/// A failure domain, as the platform names it.
using FailureDomain = StrongId<struct FailureDomainTag>;
/// A service that callers address, spread over database groups.
using ServiceName = StrongId<struct ServiceNameTag>;
/// A database group: one primary and its replicas.
using GroupName = StrongId<struct GroupNameTag>;
/// A member of a database group.
using MemberName = StrongId<struct MemberNameTag>;
/// A caller's name for one request; the same id names the same request everywhere.
using RequestId = StrongId<struct RequestIdTag>;
/// A transaction that is open on one connection.
using TransactionId = StrongId<struct TransactionIdTag>;
/// An address as "IP:port".
using Address = StrongId<struct AddressTag>;

} // namespace cardamomstep

template<typename Tag>
struct std::hash<cardamomstep::StrongId<Tag>> {
    [[nodiscard]] std::size_t operator()(const cardamomstep::StrongId<Tag> &id) const noexcept
    {
        return std::hash<std::string>{}(id.text());
    }
};
