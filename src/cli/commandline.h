// The command line of one subcommand: options, help with an example, and suggestions for misspelled options.
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

/// The help texts of a subcommand.
struct CommandText {
    std::string name;
    std::string description;
    /// Names of the positional arguments, for example "KIND [NAME]".
    std::string arguments;
    std::string example;
};

/// The options and positional arguments of one subcommand.
///
/// Example:
/// \code
/// CommandLine line({"get", "Reads records.", "KIND [NAME]", "cardamomstep get DatabaseGroup"});
/// line.add("o,output", "output format", "json|table", "table");
/// if (const auto done = line.parse(argc, argv, {1, 2}, out, err)) {
///     return *done;
/// }
/// \endcode
class CommandLine
{
public:
    /// The smallest and largest number of positional arguments.
    struct ArgumentCount {
        std::size_t low = 0;
        std::size_t high = 0;
    };

    explicit CommandLine(CommandText text);

    /// Adds an option with a value; \a fallback is its default, empty for none.
    void add(const std::string &name, const std::string &help, const std::string &valueName, const std::string &fallback = {});

    /// Adds an option without a value.
    void addFlag(const std::string &name, const std::string &help);

    /// Parses the command line; returns an exit code when the command must not run (help was written to \a out, or an error to \a err).
    [[nodiscard]] std::optional<int> parse(int argc, const char *const *argv, ArgumentCount count, std::ostream &out, std::ostream &err);

    /// The value of an option; empty when the option is missing and has no default.
    [[nodiscard]] std::string text(const std::string &name) const;

    /// True when the option is on the command line.
    [[nodiscard]] bool has(const std::string &name) const;

    /// The value of an option as a whole number, nullopt when it is missing; the error is ErrorKind::MalformedRequest.
    [[nodiscard]] Result<std::optional<std::uint64_t>> number(const std::string &name) const;

    /// The positional arguments.
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
    /// The long form of each option, with its dashes.
    std::vector<std::string> longOptions_;
};

} // namespace cardamomstep::cli
