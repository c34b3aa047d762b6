// Writes status records, and audit entries for actions of the system itself, to the store.
#include "app/statuswriter.h"

#include "logging/log.h"
#include "operators/change.h"

#include <utility>

namespace cardamomstep {

namespace {

constexpr Milliseconds storeTimeout{2'000};
constexpr Milliseconds pollInterval{100};

WallTime wallNow()
{
    return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
}

/// Returns true if \a candidate may replace \a stored: a group status with a higher term, or a plan status with another progress.
bool shouldReplace(const Record &candidate, const Record &stored)
{
    const auto *group = std::get_if<GroupStatus>(&candidate.spec);
    const auto *storedGroup = std::get_if<GroupStatus>(&stored.spec);
    if (group != nullptr && storedGroup != nullptr) {
        return group->term > storedGroup->term;
    }
    const auto *plan = std::get_if<PlanStatus>(&candidate.spec);
    const auto *storedPlan = std::get_if<PlanStatus>(&stored.spec);
    if (plan != nullptr && storedPlan != nullptr) {
        return plan->progress != storedPlan->progress;
    }
    return false;
}

std::string quoted(const std::string &text)
{
    return "\"" + text + "\"";
}

} // namespace

StatusWriter::StatusWriter(StoreClient &store, InstanceName self, std::uint64_t seed)
    // RecordWriter has the seed itself: the nonces of the two must differ.
    : records_(store, seed ^ 1U, storeTimeout)
    , self_(std::move(self))
{
}

void StatusWriter::start()
{
    writer_ = std::make_unique<Periodic>([this] { return writeNext(); });
}

void StatusWriter::stop()
{
    writer_.reset();
}

void StatusWriter::add(Record record)
{
    const std::lock_guard lock(mutex_);
    if (!queue_.add(std::move(record))) {
        logEvent(LogLevel::Warning, "status-dropped", {{"reason", "too many status records wait for the store"}});
    }
}

void StatusWriter::onPromotion(
    const GroupName &group, const MemberName &previous, const MemberName &primary, const Term &term, std::string_view reason)
{
    const auto at = wallNow();
    Record status;
    status.name = RecordName{group.text()};
    status.spec = GroupStatus{term, primary, self_, at};
    const RecordKey key{RecordKind::GroupStatus, status.name};
    add(std::move(status));
    std::vector<FieldChange> changes;
    changes.push_back({"spec.primary", previous.empty() ? std::nullopt : std::optional(quoted(previous.text())), quoted(primary.text())});
    changes.push_back({"spec.term", std::nullopt, quoted(toText(term))});
    changes.push_back({"reason", std::nullopt, quoted(std::string(reason))});
    add(operators::auditRecord(key, {"system:" + self_.text(), at}, 0, term.number, std::move(changes), false));
}

void StatusWriter::onPlan(const RecordName &plan, PlanProgress progress, std::string_view detail)
{
    Record status;
    status.name = plan;
    status.spec = PlanStatus{progress, std::string(detail), self_, wallNow()};
    add(std::move(status));
}

Milliseconds StatusWriter::writeNext()
{
    std::optional<Record> record;
    {
        const std::lock_guard lock(mutex_);
        record = queue_.next(steadyNow());
    }
    if (!record) {
        return pollInterval;
    }
    const bool done = write(*record);
    const std::lock_guard lock(mutex_);
    if (done) {
        queue_.written();
    } else {
        queue_.failed(*record, steadyNow());
    }
    return pollInterval;
}

bool StatusWriter::write(const Record &record)
{
    const auto key = record.key();
    const auto current = records_.get(key);
    if (!current && current.error().kind != ErrorKind::NotFound) {
        return false;
    }
    if (current) {
        const auto stored = readRecord(toText(key), current->text);
        if (stored && !shouldReplace(record, *stored)) {
            return true;
        }
    }
    const auto written = records_.put(key, writeRecord(record), current ? &*current : nullptr);
    // A conflict is retried: the next attempt reads the newer version and compares again. An invalid record is dropped.
    return written ? true : written.error().kind == ErrorKind::InvalidRecord;
}

} // namespace cardamomstep
