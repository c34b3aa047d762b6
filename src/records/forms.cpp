// Checks a form against the forms that the live proxies can read.
#include "records/forms.h"

#include <algorithm>
#include <string>

namespace cardamomstep {

std::vector<RecordForm> ownForms()
{
    std::vector<RecordForm> forms;
    for (const auto kind : allRecordKinds) {
        forms.push_back({kind, SchemaVersion::V1});
        forms.push_back({kind, SchemaVersion::V2});
    }
    return forms;
}

namespace {

/// Retry-after while a proxy's forms are not known: one that has just started reports them within this time.
constexpr Milliseconds defaultRetryAfter{500};

} // namespace

std::optional<Error> checkReadable(const RecordForm &form, const std::vector<ReadableForms> &live)
{
    constexpr std::size_t maxNamed = 10;
    std::string names;
    std::size_t count = 0;
    std::optional<InstanceName> unreported;
    for (const auto &proxy : live) {
        if (proxy.forms.empty()) {
            unreported = proxy.instance;
            continue;
        }
        if (std::find(proxy.forms.begin(), proxy.forms.end(), form) != proxy.forms.end()) {
            continue;
        }
        if (++count <= maxNamed) {
            names += (names.empty() ? "" : ", ") + proxy.instance.text();
        }
    }
    if (count == 0 && unreported) {
        const auto text = "it is not known yet which forms " + unreported->text() + " reads";
        return Error{ErrorKind::NotReady, text}.withRetryAfter(defaultRetryAfter);
    }
    if (count == 0) {
        return std::nullopt;
    }
    if (count > maxNamed) {
        names += " and " + std::to_string(count - maxNamed) + " more";
    }
    return Error{ErrorKind::UnreadableForm, toText(form) + " cannot be read by " + names};
}

} // namespace cardamomstep
