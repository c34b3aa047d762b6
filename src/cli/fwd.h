// Forward declarations of the cli module: the operators' commands.
#pragma once

namespace cardamomstep::cli {

enum class ExitCode : int;
struct Subcommand;
struct ClientOptions;
class CommandLine;
class OperatorClient;

} // namespace cardamomstep::cli
