// The operators' subcommands; each parses its command line, writes to its streams and returns an exit code.
#pragma once

#include <ostream>

namespace cardamomstep::cli::impl {

int runApply(int argc, const char *const *argv, std::ostream &out, std::ostream &err);
int runDiff(int argc, const char *const *argv, std::ostream &out, std::ostream &err);
int runGet(int argc, const char *const *argv, std::ostream &out, std::ostream &err);
int runDelete(int argc, const char *const *argv, std::ostream &out, std::ostream &err);
int runStatus(int argc, const char *const *argv, std::ostream &out, std::ostream &err);
int runWatch(int argc, const char *const *argv, std::ostream &out, std::ostream &err);
int runHistory(int argc, const char *const *argv, std::ostream &out, std::ostream &err);
int runExplain(int argc, const char *const *argv, std::ostream &out, std::ostream &err);
int runKeyDigest(int argc, const char *const *argv, std::ostream &out, std::ostream &err);
int runExplainRoute(int argc, const char *const *argv, std::ostream &out, std::ostream &err);
int runCheckSettings(int argc, const char *const *argv, std::ostream &out, std::ostream &err);

} // namespace cardamomstep::cli::impl
