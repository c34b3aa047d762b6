// An in-memory record store and a proxy whose catalog mirrors it, for the tests of the operators' interface and of the commands.
#pragma once

#include "operators/api.h"
#include "operators/store.h"
#include "records/forms.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace cardamomstep::test {

/// An in-memory RecordStore; thread-safe.
class MemoryStore
{
public:
    /// Called before each put, without the lock, so that tests can provoke races between changes.
    std::function<void()> beforePut;
    /// When set, every call fails with this error.
    std::optional<Error> outage;
    /// When set, writing audit entries fails with this error.
    std::optional<Error> auditOutage;

    Result<operators::StoredText> get(const RecordKey &key)
    {
        const std::lock_guard lock(mutex_);
        const auto found = records_.find(key);
        if (outage || found == records_.end()) {
            return outage.value_or(Error{ErrorKind::NotFound, "no such record"});
        }
        return found->second;
    }

    Result<std::vector<operators::StoredText>> list(RecordKind kind)
    {
        const std::lock_guard lock(mutex_);
        if (outage) {
            return *outage;
        }
        std::vector<operators::StoredText> found;
        for (const auto &[key, record] : records_) {
            if (key.kind == kind) {
                found.push_back(record);
            }
        }
        return found;
    }

    Result<std::uint64_t> put(const RecordKey &key, const std::string &text, const operators::StoredText *replaced)
    {
        if (beforePut) {
            beforePut();
        }
        const std::lock_guard lock(mutex_);
        if (outage || (auditOutage && key.kind == RecordKind::AuditEntry)) {
            return outage.value_or(*auditOutage);
        }
        const auto current = versionOf(key);
        if (current != (replaced == nullptr ? 0 : replaced->version)) {
            return conflictAt(current);
        }
        records_[key] = {key, ++revision_, text};
        publishChange();
        return revision_;
    }

    Result<std::uint64_t> remove(const RecordKey &key, std::uint64_t version)
    {
        const std::lock_guard lock(mutex_);
        if (outage) {
            return *outage;
        }
        if (versionOf(key) != version) {
            return conflictAt(versionOf(key));
        }
        records_.erase(key);
        deletions_[key] = ++revision_;
        publishChange();
        return revision_;
    }

    /// Returns a catalog that contains every change.
    std::shared_ptr<const Catalog> catalog()
    {
        const std::lock_guard lock(mutex_);
        return catalog_;
    }

    void awaitRevision(std::uint64_t revision, Milliseconds wait)
    {
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, wait, [this, revision] { return revision_ >= revision; });
    }

private:
    std::uint64_t versionOf(const RecordKey &key) const
    {
        const auto found = records_.find(key);
        return found == records_.end() ? 0 : found->second.version;
    }

    static Error conflictAt(std::uint64_t current)
    {
        Error error{ErrorKind::Conflict, "another version"};
        error.currentVersion = current;
        return error;
    }

    void publishChange()
    {
        std::vector<RecordChange> changes;
        for (const auto &[key, stored] : records_) {
            if (stored.version == revision_) {
                changes.push_back({key, stored.version, std::make_shared<const Record>(*readRecord("f", stored.text))});
            }
        }
        for (const auto &[key, version] : deletions_) {
            if (version == revision_) {
                changes.push_back({key, version, nullptr});
            }
        }
        catalog_ = catalog_->with(changes, revision_);
        changed_.notify_all();
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<RecordKey, operators::StoredText> records_;
    std::map<RecordKey, std::uint64_t> deletions_;
    std::uint64_t revision_ = 0;
    std::shared_ptr<const Catalog> catalog_ = Catalog::empty();
};

/// A proxy in front of a MemoryStore.
struct FakeProxy {
    MemoryStore &store;
    /// Other proxies, set by the test.
    std::vector<operators::ProxyInfo> others;
    std::atomic<std::int64_t> clockMs{1000};

    InstanceName self() const
    {
        return InstanceName{"p1"};
    }
    std::shared_ptr<const Catalog> catalog()
    {
        return store.catalog();
    }
    void awaitRevision(std::uint64_t revision, Milliseconds wait)
    {
        store.awaitRevision(revision, wait);
    }
    std::vector<operators::ProxyInfo> proxies()
    {
        auto all = others;
        all.push_back({self(), FailureDomain{"d1"}, InstanceState::Ready, store.catalog()->revision(), ownForms(), Milliseconds{0}});
        return all;
    }
    WallTime now()
    {
        return WallTime{Milliseconds{clockMs++}};
    }
};

/// The operators' token in all tests.
inline const std::string operatorToken = "0123456789abcdef";

using FakeApi = operators::OperatorApi<MemoryStore, FakeProxy>;

/// Returns a DatabaseGroup record with three members and \a slots slots.
inline std::string groupText(const std::string &name, int slots, const std::string &schema = "v1")
{
    const std::string limits = "\"connections\": 40, \"slots\": " + std::to_string(slots);
    return "{\"kind\": \"DatabaseGroup\", \"name\": \"" + name + "\", \"schema\": \"" + schema + R"(", "spec": {"members": [
  {"name": "m0", "failureDomain": "a", "address": "10.0.0.1:1"},
  {"name": "m1", "failureDomain": "b", "address": "10.0.0.2:1"},
  {"name": "m2", "failureDomain": "c", "address": "10.0.0.3:1"}],
  )" + (schema == "v1" ? limits : "\"capacity\": {" + limits + "}")
        + "}}";
}

} // namespace cardamomstep::test
