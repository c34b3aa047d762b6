// Reads the proxy's answer to a change.
#include "cli/impl/changeresult.h"

#include "json/reader.h"

#include <array>
#include <string_view>
#include <utility>

namespace cardamomstep::cli::impl {

namespace {

constexpr json::Length elementCount{0, 100'000};
constexpr std::array<std::pair<std::string_view, bool>, 2> ranWords{{{"yes", true}, {"no", false}}};
constexpr std::array<std::pair<std::string_view, bool>, 2> auditWords{{{"missing", true}, {"written", false}}};

} // namespace

Result<ChangeResult> readChangeResult(const nlohmann::json &answer)
{
    std::vector<json::Fault> faults;
    json::ObjectReader reader(answer, "", faults);
    ChangeResult result;
    result.written = reader.oneOf<bool>("ran", ranWords, std::nullopt);
    result.fromVersion = reader.number<std::uint64_t>("fromVersion", {});
    result.version = reader.number<std::uint64_t>("version", {});
    result.changes = reader.array("changes", elementCount);
    result.auditMissing = reader.oneOf<bool>("audit", auditWords, false);
    for (const auto &field : reader.optionalArray("unknownFields", elementCount)) {
        result.unknownFields.push_back(field.is_string() ? field.get<std::string>() : field.dump());
    }
    if (!faults.empty()) {
        return Error{ErrorKind::CorruptAnswer, "the proxy's answer: " + faults.front().path + ": " + faults.front().description};
    }
    return result;
}

} // namespace cardamomstep::cli::impl
