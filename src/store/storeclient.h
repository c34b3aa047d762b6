// Client of the platform's store and instance list: blocking calls over HTTP, safe for use by many threads.
#pragma once

#include "base/result.h"
#include "http/fwd.h"
#include "store/callbudget.h"
#include "store/object.h"
#include "store/resolution.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace cardamomstep {

/// Settings of a StoreClient.
struct StoreOptions {
    /// Address of the platform's store.
    Address store;
    /// This process and its failure domain, sent as `x-from`.
    InstanceName instance;
    FailureDomain domain;
    /// Calls that this process may make; see callBudgetFor().
    CallBudgetOptions budget;
    /// Maximum wait for one reply of the store; a call's own timeout may be longer and cover several attempts.
    Milliseconds attemptTimeout{1000};
    /// Seed of the jitter.
    std::uint64_t seed = 1;
};

/// Numbers of calls made so far.
struct StoreCallCounts {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    /// Attempts without a reply.
    std::uint64_t failures = 0;
    /// Writes whose lost reply was resolved by reading back.
    std::uint64_t resolved = 0;
};

/// Client of the store for the I/O layers.
///
/// Each call blocks for at most its timeout; a listing, a watch or an instance list that is arriving then, until it is complete or stalls.
/// A call that the budget does not allow in that time is refused with StoreUnavailable and a retry-after. A read is sent again once when a
/// reused connection turns out to be closed; WriteResolution determines the outcome of writes.
///
/// Example:
/// \code
/// StoreClient store{{.store = Address{"10.0.0.1:7000"}, .instance = InstanceName{"p1"}, .domain = FailureDomain{"a"}}};
/// const auto listing = store.list(ObjectKind{}, Milliseconds{1000});
/// \endcode
class StoreClient
{
public:
    explicit StoreClient(StoreOptions options);
    StoreClient(const StoreClient &) = delete;
    StoreClient &operator=(const StoreClient &) = delete;
    ~StoreClient();

    /// Reads one object; the error is NotFound when there is none, otherwise StoreUnavailable.
    [[nodiscard]] Result<StoredObject> get(const ObjectKey &key, Milliseconds timeout);

    /// Lists the objects of \a kind, or of all kinds when it is empty.
    [[nodiscard]] Result<StoreListing> list(const ObjectKind &kind, Milliseconds timeout);

    /// Performs \a write (a put or a removal) and determines whether it took effect; for errors see WriteFinished.
    [[nodiscard]] Result<StoreWritten> write(const StoreWrite &write, Milliseconds timeout);

    /// Puts \a value under \a key where \a expected is the current version; \a value carries \a nonce (see withWriterStamp()).
    [[nodiscard]] Result<StoreWritten>
    put(const ObjectKey &key, std::string value, Revision expected, const WriterNonce &nonce, Milliseconds timeout);

    /// Removes the object where \a expected is the current version.
    [[nodiscard]] Result<StoreWritten> remove(const ObjectKey &key, Revision expected, Milliseconds timeout);

    /// Waits up to \a wait for changes after \a after; an empty result means that there are none, unless its `tooOld` is set.
    [[nodiscard]] Result<StoreChanges> watch(Revision after, Milliseconds wait);

    /// Returns the platform's instance list with all roles.
    [[nodiscard]] Result<std::vector<ListedInstance>> instances(Milliseconds timeout);

    /// Changes the budget, for example when the fleet has grown.
    void setBudget(CallBudgetOptions options);

    /// Returns the numbers of calls made so far.
    [[nodiscard]] StoreCallCounts counts() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace cardamomstep
