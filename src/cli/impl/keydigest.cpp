// The subcommand `key-digest`: computes the digest that a Customer record holds in place of a key.
#include "records/keydigest.h"
#include "cli/commandline.h"
#include "cli/exitcode.h"
#include "cli/impl/commands.h"

#include <iostream>
#include <string>

namespace cardamomstep::cli::impl {

int runKeyDigest(int argc, const char *const *argv, std::ostream &out, std::ostream &err)
{
    CommandLine line({"key-digest",
                      "Reads a customer's key from the first line of standard input and prints its digest for a Customer record.",
                      "",
                      "cardamomstep key-digest < key.txt"});
    if (const auto done = line.parse(argc, argv, {0, 0}, out, err)) {
        return *done;
    }
    std::string key;
    if (!std::getline(std::cin, key) || key.empty()) {
        err << "cardamomstep key-digest: standard input holds no key\n";
        return toInt(ExitCode::Usage);
    }
    out << keyDigestText(key) << "\n";
    return toInt(ExitCode::Ok);
}

} // namespace cardamomstep::cli::impl
