// Writes status records and the audit entries of the system's own actions to the store.
#include "app/statuswriter.h"

#include "logging/log.h"
#include "operators/change.h"

#include <utility>

namespace cardamomstep {

namespace {

constexpr Milliseconds storeTimeout{2'000};
constexpr Milliseconds idlePause{100};

WallTime wallNow()
{
    return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
}

/// True when \a candidate says something newer than \a stored.
bool isNews(const Record &candidate, const Record &stored)
{
    const auto *group = std::get_if<GroupStatus>(&candidate.spec);
    const auto *oldGroup = std::get_if<GroupStatus>(&stored.spec);
    if (group != nullptr && oldGroup != nullptr) {
        return group->term > oldGroup->term;
    }
    const auto *plan = std::get_if<PlanStatus>(&candidate.spec);
    const auto *oldPlan = std::get_if<PlanStatus>(&stored.spec);
    if (plan != nullptr && oldPlan != nullptr) {
        return plan->progress != oldPlan->progress;
    }
    return false;
}

std::string quoted(const std::string &text)
{
    return "\"" + text + "\"";
}

} // namespace

StatusWriter::StatusWriter(StoreClient &store, InstanceName self, std::uint64_t seed)
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
        return idlePause;
    }
    const bool done = write(*record);
    const std::lock_guard lock(mutex_);
    if (done) {
        queue_.written();
    } else {
        queue_.failed(*record, steadyNow());
    }
    return idlePause;
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
        if (stored && !isNews(record, *stored)) {
            return true;
        }
    }
    const auto written = records_.put(key, writeRecord(record), current ? &*current : nullptr);
    // After a conflict the next try reads the newer version and decides again.
    return written ? true : written.error().kind == ErrorKind::InvalidRecord;
}

} // namespace cardamomstep
