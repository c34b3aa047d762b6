// Reads fields that several kinds of settings have in common.
#pragma once

#include "base/ids.h"
#include "http/address.h"
#include "settings/settings.h"
#include "json/reader.h"

#include <array>
#include <string>
#include <string_view>
#include <utility>

namespace cardamomstep::settings::impl {

using json::Length;
using json::ObjectReader;

inline constexpr Length nameLength{1, 63};
inline constexpr Length addressLength{1, 64};

inline constexpr std::array<std::pair<std::string_view, LogLevel>, 4> logLevels{
    {{"debug", LogLevel::Debug}, {"info", LogLevel::Info}, {"warning", LogLevel::Warning}, {"error", LogLevel::Error}}};

inline bool isName(const std::string &text)
{
    constexpr auto allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._";
    return text.find_first_not_of(allowed) == std::string::npos;
}

template<typename Id>
Id readName(ObjectReader &reader, const std::string &key)
{
    auto text = reader.text(key, nameLength);
    if (!isName(text)) {
        reader.fault(key, "expected letters, digits, '-', '.' and '_'");
    }
    return Id{std::move(text)};
}

inline Address checkAddress(ObjectReader &reader, const std::string &key, std::string text)
{
    Address address{std::move(text)};
    if (!address.empty() && !http::parseAddress(address)) {
        reader.fault(key, "expected IP:port, got \"" + address.text() + "\"");
    }
    return address;
}

inline Address readAddress(ObjectReader &reader, const std::string &key)
{
    return checkAddress(reader, key, reader.text(key, addressLength));
}

} // namespace cardamomstep::settings::impl
