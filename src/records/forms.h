// Checks that all live proxies can read a form of record.
#pragma once

#include "base/error.h"
#include "base/ids.h"
#include "records/kind.h"

#include <optional>
#include <vector>

namespace cardamomstep {

/// The forms that one live proxy can read.
struct ReadableForms {
    InstanceName instance;
    /// Empty while they are not known yet.
    std::vector<RecordForm> forms;
};

/// Returns the forms that this release reads and writes.
[[nodiscard]] std::vector<RecordForm> ownForms();

/// Returns no error when all \a live proxies can read \a form.
///
/// ErrorKind::UnreadableForm names the proxies that cannot read it; ErrorKind::NotReady means that a proxy's forms are not known yet.
[[nodiscard]] std::optional<Error> checkReadable(const RecordForm &form, const std::vector<ReadableForms> &live);

} // namespace cardamomstep
