// Parses command lines with cxxopts.
#include "cli/commandline.h"

#include "cli/exitcode.h"
#include "json/nearest.h"

#include <charconv>
#include <utility>

namespace cardamomstep::cli {

namespace {

constexpr const char *argumentsOption = "arguments";

/// The long name of an option; \a name is "o,output" or "output".
std::string longName(const std::string &name)
{
    const auto comma = name.find(',');
    return comma == std::string::npos ? name : name.substr(comma + 1);
}

} // namespace

CommandLine::CommandLine(CommandText text)
    : text_(std::move(text))
    , options_("cardamomstep " + text_.name, text_.description + "\n\nExample:\n  " + text_.example + "\n")
{
    options_.custom_help("[OPTION...]");
    options_.positional_help(text_.arguments);
    options_.allow_unrecognised_options();
    addFlag("h,help", "show this help");
}

void CommandLine::add(const std::string &name, const std::string &help, const std::string &valueName, const std::string &fallback)
{
    auto value = cxxopts::value<std::string>();
    if (!fallback.empty()) {
        value = value->default_value(fallback);
    }
    options_.add_options()(name, help, value, valueName);
    longOptions_.push_back("--" + longName(name));
}

void CommandLine::addFlag(const std::string &name, const std::string &help)
{
    options_.add_options()(name, help);
    longOptions_.push_back("--" + longName(name));
}

std::optional<int> CommandLine::parse(int argc, const char *const *argv, ArgumentCount count, std::ostream &out, std::ostream &err)
{
    options_.add_options("hidden")(argumentsOption, "", cxxopts::value<std::vector<std::string>>());
    options_.parse_positional({argumentsOption});
    try {
        parsed_ = options_.parse(argc, argv);
        if (parsed_->count(argumentsOption) > 0) {
            arguments_ = (*parsed_)[argumentsOption].as<std::vector<std::string>>();
        }
    } catch (const cxxopts::exceptions::exception &fault) {
        return usageError(err, fault.what());
    }
    if (has("help")) {
        out << options_.help({""});
        return toInt(ExitCode::Ok);
    }
    if (!parsed_->unmatched().empty()) {
        return usageError(err, unknownOption(parsed_->unmatched().front()));
    }
    if (arguments_.size() < count.low || arguments_.size() > count.high) {
        return usageError(err, "expected " + (count.high == 0 ? std::string("no arguments") : text_.arguments) + "; see --help");
    }
    return std::nullopt;
}

std::string CommandLine::text(const std::string &name) const
{
    const auto &value = (*parsed_)[name];
    return value.count() > 0 || value.has_default() ? value.as<std::string>() : std::string();
}

bool CommandLine::has(const std::string &name) const
{
    return parsed_->count(name) > 0;
}

Result<std::optional<std::uint64_t>> CommandLine::number(const std::string &name) const
{
    const auto value = text(name);
    if (value.empty() && !has(name)) {
        return std::optional<std::uint64_t>();
    }
    std::uint64_t number = 0;
    const auto *end = value.data() + value.size();
    const auto read = std::from_chars(value.data(), end, number);
    if (value.empty() || read.ec != std::errc{} || read.ptr != end) {
        return Error{ErrorKind::MalformedRequest, "--" + name + ": expected a whole number, got \"" + value + "\""};
    }
    return std::optional<std::uint64_t>(number);
}

int CommandLine::usageError(std::ostream &err, const std::string &message) const
{
    err << "cardamomstep " << text_.name << ": " << message << "\n";
    return toInt(ExitCode::Usage);
}

std::string CommandLine::unknownOption(const std::string &option) const
{
    const auto name = option.substr(0, option.find('='));
    const auto nearest = json::nearestWord(name, longOptions_);
    return "there is no option \"" + name + "\"" + (nearest ? "; did you mean \"" + *nearest + "\"?" : std::string());
}

} // namespace cardamomstep::cli
