// A model of the platform's store for tests in virtual time: conditional changes, history, listing and watch.
#pragma once

#include "store/resolution.h"

#include <map>
#include <optional>
#include <vector>

namespace cardamomstep::test {

class ModelStore
{
public:
    /// Applies the write as the store would.
    WriteReply apply(const StoreWrite &write)
    {
        const auto current = versionOf(write.key);
        if (current != write.expected) {
            return {WriteReplyKind::Mismatch, current};
        }
        ++revision_.value;
        history_.push_back({write.key.kind, write.key.name, revision_, write.removal ? "" : write.value, write.removal});
        if (write.removal) {
            objects_.erase(write.key);
        } else {
            objects_[write.key] = history_.back();
        }
        return {WriteReplyKind::Written, revision_};
    }

    std::optional<StoredObject> get(const ObjectKey &key) const
    {
        const auto found = objects_.find(key);
        return found == objects_.end() ? std::nullopt : std::optional<StoredObject>(found->second);
    }

    Revision versionOf(const ObjectKey &key) const
    {
        const auto found = objects_.find(key);
        return found == objects_.end() ? Revision{} : found->second.version;
    }

    StoreListing list() const
    {
        StoreListing listing{revision_, {}};
        for (const auto &[key, object] : objects_) {
            listing.objects.push_back(object);
        }
        return listing;
    }

    StoreChanges watch(Revision after) const
    {
        if (after < oldest_) {
            return {after, {}, {}, true};
        }
        StoreChanges changes{after, revision_, {}, false};
        for (auto change = history_.rbegin(); change != history_.rend() && change->version > after; ++change) {
            changes.changes.insert(changes.changes.begin(), *change);
        }
        return changes;
    }

    /// Drops the history up to now: watches from earlier revisions are too old.
    void compact()
    {
        oldest_ = revision_;
    }

    Revision revision() const
    {
        return revision_;
    }

    const std::vector<StoredObject> &history() const
    {
        return history_;
    }

private:
    std::map<ObjectKey, StoredObject> objects_;
    std::vector<StoredObject> history_;
    Revision revision_;
    Revision oldest_;
};

} // namespace cardamomstep::test
