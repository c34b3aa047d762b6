// Text form of errors.
#include "base/error.h"

namespace cardamomstep {

std::ostream &operator<<(std::ostream &out, const Error &error)
{
    if (error.position) {
        out << error.position->file << ":" << error.position->line << ": ";
        if (!error.position->key.empty()) {
            out << error.position->key << ": ";
        }
    }
    return out << answerRule(error.kind).name << ": " << error.description;
}

} // namespace cardamomstep
