// Strongly typed identifiers, so that an identifier of one kind cannot be used as one of another kind.
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
/// Identifiers compare and hash by their text; the conversion from text is explicit.
///
/// Example: `const GroupName group{"ledger-1"};`
template<typename Tag>
class StrongId
{
public:
    StrongId() = default;

    /// Wraps \a text without validation; text is validated where it enters the process.
    explicit StrongId(std::string text) noexcept
        : text_(std::move(text))
    {
    }

    /// Returns the identifier's text.
    [[nodiscard]] const std::string &text() const noexcept
    {
        return text_;
    }

    /// Returns true if the text is empty.
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
/// A failure domain, under the platform's name for it.
using FailureDomain = StrongId<struct FailureDomainTag>;
/// A region: failure domains with short delays between them.
using Region = StrongId<struct RegionTag>;
/// A service that callers address; its keys are distributed over database groups.
using ServiceName = StrongId<struct ServiceNameTag>;
/// A database group: one primary and its replicas.
using GroupName = StrongId<struct GroupNameTag>;
/// A member of a database group.
using MemberName = StrongId<struct MemberNameTag>;
/// A caller's identifier for one request; the same id denotes the same request everywhere.
using RequestId = StrongId<struct RequestIdTag>;
/// A transaction that is open on one connection.
using TransactionId = StrongId<struct TransactionIdTag>;
/// A customer, on whose behalf callers send statements.
using CustomerName = StrongId<struct CustomerNameTag>;
/// A network address of the form "IP:port".
using Address = StrongId<struct AddressTag>;

} // namespace cardamomstep

template<typename Tag>
struct std::hash<cardamomstep::StrongId<Tag>> {
    [[nodiscard]] std::size_t operator()(const cardamomstep::StrongId<Tag> &id) const noexcept
    {
        return std::hash<std::string>{}(id.text());
    }
};
