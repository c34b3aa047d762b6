// Computes the fingerprint of a request's body.
#include "requests/fingerprint.h"

#include "base/hash.h"

#include <string>
#include <string_view>

namespace cardamomstep {

namespace {

std::uint64_t addField(std::uint64_t hash, std::string_view text)
{
    return stableHash(text, stableHash(std::to_string(text.size()), hash));
}

} // namespace

std::uint64_t fingerprintOf(const Statement &statement) noexcept
{
    auto hash = stableHash(std::to_string(static_cast<int>(statement.verb)));
    hash = addField(hash, statement.service.text());
    hash = addField(hash, statement.operation);
    hash = addField(hash, statement.key);
    hash = addField(hash, statement.arguments);
    return addField(hash, statement.transaction.text());
}

} // namespace cardamomstep
