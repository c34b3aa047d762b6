// The store's entries that cannot be read: each is logged and counted once.
#pragma once

#include "logging/log.h"
#include "store/object.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cardamomstep::gateway {

/// Callbacks of UnreadableEntries.
struct UnreadableEntriesHandlers {
    std::function<void(LogLevel level, std::string_view event, const std::vector<LogField> &fields)> log;
    /// Counts one entry among those of \a dependency; may be empty.
    std::function<void(std::string_view dependency)> count;
};

/// Reports an entry when it becomes unreadable, and again only after it was readable or absent.
///
/// Another writer may leave entries that this release cannot read. Each names nothing, and the others hold.
class UnreadableEntries
{
public:
    explicit UnreadableEntries(UnreadableEntriesHandlers handlers)
        : handlers_(std::move(handlers))
    {
    }

    /// Records whether the entry \a object, one of those of \a dependency, could be read.
    void onEntry(std::string_view dependency, const StoredObject &object, bool readable)
    {
        const std::pair key(std::string(dependency), object.name);
        if (readable || object.deleted) {
            known_.erase(key);
            return;
        }
        // Further ones are still left out, but no longer reported: the log and this process's memory are bounded.
        if (known_.size() < maxKnown && known_.insert(key).second) {
            report(dependency, object.name.text(), object.version);
        }
    }

    /// Records that \a count entries in a reply about \a dependency as of \a revision have no readable name.
    void onUnnamed(std::string_view dependency, std::uint32_t count, Revision revision)
    {
        auto &reported = unnamed_[std::string(dependency)];
        for (; reported < count; ++reported) {
            report(dependency, "", revision);
        }
    }

private:
    /// The number of unreadable entries that are remembered.
    static constexpr std::size_t maxKnown = 1000;

    void report(std::string_view dependency, const std::string &name, Revision revision)
    {
        handlers_.log(LogLevel::Warning,
                      "entry_unreadable",
                      {{"dependency", dependency}, {"name", name}, {"revision", static_cast<std::int64_t>(revision.value)}});
        if (handlers_.count) {
            handlers_.count(dependency);
        }
    }

    UnreadableEntriesHandlers handlers_;
    std::set<std::pair<std::string, ObjectName>> known_;
    /// The largest number of entries without a readable name in one reply so far.
    std::map<std::string, std::uint32_t> unnamed_;
};

} // namespace cardamomstep::gateway
