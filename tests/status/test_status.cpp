// Tests of the progress of stop plans and of the queue of status records.
#include "status/plans.h"
#include "status/statusqueue.h"

#include <criterion/criterion.h>

using namespace cardamomstep;

namespace {

constexpr WallTime anyTime{Milliseconds{1'000'000}};

std::shared_ptr<const Record> recordOf(const std::string &text)
{
    const auto record = readRecord("test", text);
    cr_assert(bool(record));
    return std::make_shared<const Record>(*record);
}

std::shared_ptr<const Catalog> catalogWith(const std::vector<std::string> &texts)
{
    std::vector<RecordChange> changes;
    std::uint64_t version = 1;
    for (const auto &text : texts) {
        const auto record = recordOf(text);
        changes.push_back({record->key(), version++, record});
    }
    return Catalog::fromList(changes, version);
}

const std::string group = R"({"kind":"DatabaseGroup","name":"g","schema":"v1","spec":{"connections":4,"slots":2,"members":[
  {"name":"a","failureDomain":"x","address":"127.0.0.1:1"},{"name":"b","failureDomain":"y","address":"127.0.0.1:2"},
  {"name":"c","failureDomain":"z","address":"127.0.0.1:3"}]}})";

Record planStatus(const std::string &name, PlanProgress progress)
{
    Record record;
    record.name = RecordName{name};
    PlanStatus status;
    status.progress = progress;
    record.spec = status;
    return record;
}

} // namespace

Test(status, planOfOneMemberIsDue)
{
    const auto catalog = catalogWith(
        {group, R"({"kind":"StopPlan","name":"p","schema":"v1","spec":{"endpoint":{"group":"g","member":"b"},"state":"active"}})"});
    const auto plans = endpointPlans(*catalog, GroupName{"g"}, anyTime);
    cr_assert(plans.size() == 1);
    cr_assert(plans[0].due);
    cr_assert(plans[0].member == MemberName{"b"});
}

Test(status, secondPlanWaitsWhenNoMajorityWouldRemain)
{
    const auto catalog =
        catalogWith({group,
                     R"({"kind":"StopPlan","name":"p","schema":"v1","spec":{"endpoint":{"group":"g","member":"b"},"state":"active"}})",
                     R"({"kind":"StopPlan","name":"q","schema":"v1","spec":{"endpoint":{"group":"g","member":"c"},"state":"active"}})"});
    const auto plans = endpointPlans(*catalog, GroupName{"g"}, anyTime);
    cr_assert(plans.size() == 2);
    cr_assert(plans[0].due);
    cr_assert(!plans[1].due);
}

Test(status, planIsDoneOnceTheMemberIsDrainedAndNotPrimary)
{
    cr_assert(planProgress({false, false, true}) == PlanProgress::Waiting);
    cr_assert(planProgress({true, true, true}) == PlanProgress::Draining);
    cr_assert(planProgress({true, false, false}) == PlanProgress::Draining);
    cr_assert(planProgress({true, false, true}) == PlanProgress::Done);
}

Test(status, newerRecordReplacesTheOlderOne)
{
    StatusQueue queue;
    cr_assert(queue.add(planStatus("p", PlanProgress::Waiting)));
    cr_assert(queue.add(planStatus("p", PlanProgress::Draining)));
    const auto record = queue.next(TimePoint{});
    cr_assert(record.has_value());
    cr_assert(std::get<PlanStatus>(record->spec).progress == PlanProgress::Draining);
    cr_assert(!queue.next(TimePoint{Seconds{1}}).has_value());
}

Test(status, writesAreSpacedAndBackOffAfterAFailure)
{
    StatusQueue queue({Milliseconds{200}, Milliseconds{500}, Milliseconds{1'000}, 2});
    cr_assert(queue.add(planStatus("p", PlanProgress::Waiting)));
    cr_assert(queue.add(planStatus("q", PlanProgress::Waiting)));
    cr_assert(!queue.add(planStatus("r", PlanProgress::Waiting)));
    auto first = queue.next(TimePoint{});
    cr_assert(first.has_value());
    cr_assert(!queue.next(TimePoint{Milliseconds{199}}).has_value());
    queue.failed(*first, TimePoint{Milliseconds{200}});
    cr_assert(queue.size() == 2);
    cr_assert(!queue.next(TimePoint{Milliseconds{699}}).has_value());
    cr_assert(queue.next(TimePoint{Milliseconds{700}}).has_value());
}

Test(status, failedRecordNeverReplacesANewerOne)
{
    StatusQueue queue;
    cr_assert(queue.add(planStatus("p", PlanProgress::Waiting)));
    auto olderRecord = queue.next(TimePoint{});
    cr_assert(queue.add(planStatus("p", PlanProgress::Done)));
    queue.failed(*olderRecord, TimePoint{});
    const auto record = queue.next(TimePoint{Seconds{60}});
    cr_assert(record.has_value());
    cr_assert(std::get<PlanStatus>(record->spec).progress == PlanProgress::Done);
}
