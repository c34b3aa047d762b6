// Which forms of records the live proxies can read, and the refusal of a form that one of them cannot.
#pragma once

#include "base/error.h"
#include "base/ids.h"
#include "records/kind.h"

#include <optional>
#include <vector>

namespace cardamomstep {

/// The forms that one live proxy reads.
struct ReadableForms {
    InstanceName instance;
    std::vector<RecordForm> forms;
};

/// The forms that this release reads and writes.
[[nodiscard]] std::vector<RecordForm> ownForms();

/// The refusal of \a form by the \a live proxies: ErrorKind::UnreadableForm naming those that cannot read it,
/// ErrorKind::NotReady while the forms of one are not known yet (its list is empty); none when all can.
[[nodiscard]] std::optional<Error> checkReadable(const RecordForm &form, const std::vector<ReadableForms> &live);

} // namespace cardamomstep
