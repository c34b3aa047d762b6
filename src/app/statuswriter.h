// Writes status records, and audit entries for actions of the system itself, to the store at a bounded rate.
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

/// Writes the records of a StatusQueue to the store; safe for use by many threads.
///
/// A stored status record is replaced only by one with a higher term (group status) or another progress (plan status).
class StatusWriter
{
public:
    StatusWriter(StoreClient &store, InstanceName self, std::uint64_t seed);
    StatusWriter(const StatusWriter &) = delete;
    StatusWriter &operator=(const StatusWriter &) = delete;

    /// Starts to write.
    void start();

    /// Stops after the write in progress; queued records are not written.
    void stop();

    /// Queues a status record that \a primary leads \a group at \a term, and an entry for the audit trail.
    void
    onPromotion(const GroupName &group, const MemberName &previous, const MemberName &primary, const Term &term, std::string_view reason);

    /// Queues a status record with the progress of \a plan.
    void onPlan(const RecordName &plan, PlanProgress progress, std::string_view detail);

private:
    [[nodiscard]] Milliseconds writeNext();
    /// Writes \a record where it may replace the stored one; returns false if that must be tried again.
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
