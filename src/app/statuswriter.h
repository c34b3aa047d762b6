// Writes status records and the audit entries of the system's own actions to the store, at a bounded rate.
#pragma once

#include "app/fwd.h"
#include "app/periodic.h"
#include "operators/platformstore.h"
#include "records/catalog.h"
#include "status/statusqueue.h"

#include <functional>
#include <memory>
#include <mutex>

namespace cardamomstep {

/// Carries a StatusQueue's records to the store; safe for use by many threads.
///
/// A status record is only written over one that it is newer than: a group's by its term, a plan's by its progress.
class StatusWriter
{
public:
    StatusWriter(StoreClient &store, InstanceName self, std::uint64_t seed);
    StatusWriter(const StatusWriter &) = delete;
    StatusWriter &operator=(const StatusWriter &) = delete;

    /// Begins to write.
    void start();

    /// Stops after the write in progress; what waits is dropped.
    void stop();

    /// Takes in that \a primary leads \a group at \a term, with the entry for the audit trail.
    void
    onPromotion(const GroupName &group, const MemberName &previous, const MemberName &primary, const Term &term, std::string_view reason);

    /// Takes in how far a plan has come.
    void onPlan(const RecordName &plan, PlanProgress progress, std::string_view detail);

private:
    [[nodiscard]] Milliseconds writeNext();
    [[nodiscard]] bool write(const Record &record);
    void add(Record record);

    operators::PlatformStore records_;
    InstanceName self_;
    std::mutex mutex_;
    /// Guarded by mutex_.
    StatusQueue queue_;
    std::unique_ptr<Periodic> writer_;
};

} // namespace cardamomstep
