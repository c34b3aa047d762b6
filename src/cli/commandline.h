// The command line of one subcommand: options, help with an example, and messages that name the nearest option.
#pragma once

#include "base/result.h"
#include "cli/fwd.h"

#include <cxxopts.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace cardamomstep::cli {

/// What describes a subcommand to its user.
struct CommandText {
    std::string name;
    std::string description;
    /// Names of the arguments that are no options, for example "KIND [NAME]".
    std::string arguments;
    std::string example;
};

/// Options and arguments of one subcommand.
///
/// Example:
/// \code
/// CommandLine line({"get", "Reads records.", "KIND [NAME]", "cardamomstep get DatabaseGroup"});
/// line.add("o,output", "form of the output", "json|table", "table");
/// if (const auto done = line.parse(argc, argv, {1, 2}, out, err)) {
///     return *done;
/// }
/// \endcode
class CommandLine
{
public:
    /// Fewest and most arguments that are no options.
    struct ArgumentCount {
        std::size_t low = 0;
        std::size_t high = 0;
    };

    explicit CommandLine(CommandText text);

    /// Adds an option with a value, which is \a fallback when it is missing.
    void add(const std::string &name, const std::string &help, const std::string &valueName, const std::string &fallback = {});

    /// Adds an option without a value.
    void addFlag(const std::string &name, const std::string &help);

    /// Parses; returns the exit code when nothing is left to do (help, or a fault that was written to \a err).
    [[nodiscard]] std::optional<int> parse(int argc, const char *const *argv, ArgumentCount count, std::ostream &out, std::ostream &err);

    /// The value of an option; empty when it is missing and has no fallback.
    [[nodiscard]] std::string text(const std::string &name) const;

    /// True when the option was given.
    [[nodiscard]] bool has(const std::string &name) const;

    /// The value of an option as a whole number, none when it is missing; the error is ErrorKind::MalformedRequest.
    [[nodiscard]] Result<std::optional<std::uint64_t>> number(const std::string &name) const;

    /// Arguments that are no options.
    [[nodiscard]] const std::vector<std::string> &arguments() const noexcept
    {
        return arguments_;
    }

    /// Writes "cardamomstep NAME: message" and returns ExitCode::Usage.
    int usageError(std::ostream &err, const std::string &message) const;

private:
    [[nodiscard]] std::string unknownOption(const std::string &option) const;

    CommandText text_;
    cxxopts::Options options_;
    std::optional<cxxopts::ParseResult> parsed_;
    std::vector<std::string> arguments_;
    std::vector<std::string> names_;
};

} // namespace cardamomstep::cli
