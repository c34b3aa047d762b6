// Writes the groups' records that no primary change writes: first ones, and those that the store lost.
#pragma once

#include "evloop/clock.h"
#include "gateway/leadershipcontext.h"
#include "gateway/leasemanager.h"
#include "leadership/recordjson.h"

#include <cstdint>
#include <map>
#include <vector>

namespace cardamomstep::gateway {

/// Makes, at the lease holder, the store calls that RecordRecovery decides on, and creates the records of groups that have none.
template<typename Store>
class RecordWriter
{
public:
    RecordWriter(LeadershipContext<Store> &context, LeaseManager<Store> &leaseManager)
        : context_(context)
        , leaseManager_(leaseManager)
    {
    }

    /// Handles a new epoch of the store; returns the number of records that this process knows to be the newest, because it holds the
    /// lease (\a leaseHeld) over the change.
    std::size_t onStoreEpoch(StoreEpoch epoch, bool leaseHeld)
    {
        std::vector<GroupName> remembered;
        if (leaseHeld && leaseManager_.recordsCurrent()) {
            for (const auto &record : context_.recordRecovery.trustedRecords(context_.primaryTable)) {
                remembered.push_back(record.group);
            }
        }
        context_.recordRecovery.onStoreEpoch(epoch, remembered);
        return remembered.size();
    }

    /// Writes the records again that the store lost when it came back from an older copy.
    void writeAgain(TimePoint now)
    {
        for (const auto &record : context_.recordRecovery.next(context_.primaryTable, now)) {
            const auto done = [this, record](const Result<StoredObject> &stored) {
                if (!stored) {
                    context_.recordRecovery.failed(record.group, evloop::bootTimeNow());
                    leaseManager_.readRecords();
                    return;
                }
                context_.recordRecovery.written(record.group);
                context_.applyObject(*stored, evloop::bootTimeNow());
            };
            context_.host.log(LogLevel::Warning,
                              "record_written_again",
                              {{"group", record.group.text()},
                               {"primary", record.primary.text()},
                               {"generation", static_cast<std::int64_t>(record.generation)},
                               {"verified", static_cast<std::int64_t>(context_.recordRecovery.unverified(record.group) ? 0 : 1)}});
            const auto key = leadership::recordKey(record.group);
            if (record.revision.value == 0) {
                context_.store.create(key, leadership::encode(record), context_.limits.storeTimeout, done);
            } else {
                context_.store.replace(key, record.revision, leadership::encode(record), context_.limits.storeTimeout, done);
            }
        }
    }

    /// Creates the first record of a group, in which no member was ever promoted before.
    ///
    /// The primary is the one member that registered as primary; while none or several did, nothing is created.
    void createFirst(const GroupName &group, TimePoint now)
    {
        auto &triedAt = creationTriedAt_[group];
        if (now - triedAt < context_.limits.controlTimeout) {
            return;
        }
        std::vector<MemberName> claimants;
        for (const auto &member : context_.host.directory.membersOf(group)) {
            if (member.claimsPrimary) {
                claimants.push_back(member.name);
            }
        }
        if (claimants.size() != 1) {
            return;
        }
        triedAt = now;
        leadership::GroupRecord record;
        record.group = group;
        record.primary = claimants.front();
        record.writtenIn = context_.epochs->newest();
        record.generation = leadership::firstGenerationOf(record.writtenIn);
        const bool neverRecorded = record.writtenIn == StoreEpoch{} || (context_.settings.newFleet && !context_.epochs->risen());
        if (!neverRecorded) {
            // The store may have lost the record of a promotion, so a primary change has to find out which member leads.
            record.changeInProgress = true;
            record.contested = true;
            context_.recordRecovery.setUnverified(group);
        }
        const auto done = [this](const Result<StoredObject> &created) {
            if (created) {
                context_.applyObject(*created, evloop::bootTimeNow());
            } else {
                // The record may exist although the reply was lost.
                leaseManager_.readRecords();
            }
        };
        context_.store.create(leadership::recordKey(group), leadership::encode(record), context_.limits.storeTimeout, done);
    }

private:
    LeadershipContext<Store> &context_;
    LeaseManager<Store> &leaseManager_;
    std::map<GroupName, TimePoint> creationTriedAt_;
};

} // namespace cardamomstep::gateway
