// Replication of a stand-in member: a replica pulls the primary's log and applies each entry when it is due.
#include "member.h"

#include "http/connection.h"

#include <nlohmann/json.hpp>

#include <thread>

namespace cardamomstep::standins {

using Json = nlohmann::json;

namespace {

/// How long the primary may wait for new entries before it replies to a pull.
constexpr Milliseconds pullWait{500};
constexpr Milliseconds pullTimeout{2000};
constexpr Milliseconds retryDelay{20};
constexpr int conflict = 409;

std::int64_t steadyMicroseconds()
{
    return steadyNow().time_since_epoch().count();
}

} // namespace

// Each primary and term gets its own thread, so that a pull blocked on an old primary never delays the next one.
void Member::replicate()
{
    std::unique_lock lock(mutex_);
    std::optional<Primary> source;
    Term term;
    while (true) {
        changed_.wait(lock,
                      [&] { return state_.primary() && !state_.isPrimary() && (state_.primary() != source || state_.adopted() != term); });
        source = state_.primary();
        term = state_.adopted();
        std::thread([this, primary = *source, term] { follow(primary, term); }).detach();
    }
}

void Member::follow(const Primary &primary, const Term &term)
{
    http::Connection connection{Address{primary.address}};
    std::unique_lock lock(mutex_);
    std::uint64_t cursor = state_.log().size();
    while (follows(primary, term)) {
        if (faults_.stuck()) {
            changed_.wait(lock);
            continue;
        }
        lock.unlock();
        faults_.waitWhileFrozen();
        pullOnce(connection, primary, term, cursor);
        lock.lock();
    }
}

bool Member::follows(const Primary &primary, const Term &term) const
{
    return state_.primary() == primary && !state_.isPrimary() && state_.adopted() == term;
}

void Member::pullOnce(http::Connection &connection, const Primary &primary, const Term &term, std::uint64_t &cursor)
{
    http::Request request;
    request.path = "/v1/log";
    request.headers["x-from"] = options_.name + "/" + options_.domain;
    request.query["term"] = toText(term);
    request.query["waitMs"] = std::to_string(pullWait.count());
    request.query["member"] = options_.name;
    {
        const std::lock_guard lock(mutex_);
        cursor = std::min(cursor, state_.log().size());
        request.query["afterMark"] = toText(state_.log().positionAt(cursor));
    }
    if (faults_.isCut(primary.name)) {
        connection.close();
        std::this_thread::sleep_for(retryDelay);
        return;
    }
    const auto result = connection.exchange(request, pullTimeout);
    faults_.waitWhileFrozen();
    if (!result.response || result.response->status == conflict || faults_.isCut(primary.name)) {
        std::this_thread::sleep_for(retryDelay);
        return;
    }
    const auto reply = Json::parse(result.response->body, nullptr, false);
    if (!reply.is_discarded() && reply.value("matches", false)) {
        applyEntries(reply, term, cursor);
    } else if (!reply.is_discarded() && reply.contains("try")) {
        const auto hint = parseLogPosition(reply["try"].get<std::string>());
        const std::lock_guard lock(mutex_);
        cursor = hint ? state_.log().lastIndexUpTo(hint->index, hint->term) : 0;
    }
}

void Member::applyEntries(const Json &reply, const Term &term, std::uint64_t &cursor)
{
    const auto primaryDomain = reply.value("domain", std::string());
    for (const auto &json : reply["entries"]) {
        auto entry = entryFromJson(json);
        const auto networkDelay = faults_.drawDelay(primaryDomain, options_.domain);
        if (!waitUntilDue(entry.writtenAt + networkDelay.count(), term)) {
            return;
        }
        const std::lock_guard lock(mutex_);
        if (!state_.replicate(term, cursor, std::move(entry))) {
            return;
        }
        ++cursor;
        changed_.notify_all();
    }
    const auto last = parseLogPosition(reply.value("last", std::string()));
    const std::lock_guard lock(mutex_);
    if (last && last->index == cursor && cursor < state_.log().size()) {
        state_.dropTail(term, cursor);
        changed_.notify_all();
    }
}

// Waits until \a dueAt plus the lag in force; returns false if the member adopts another term or becomes primary.
bool Member::waitUntilDue(std::int64_t dueAt, const Term &term)
{
    std::unique_lock lock(mutex_);
    while (true) {
        if (state_.adopted() != term || state_.isPrimary()) {
            return false;
        }
        const auto remaining = dueAt + faults_.lag().count() - steadyMicroseconds();
        if (faults_.stuck()) {
            changed_.wait(lock);
        } else if (remaining > 0) {
            changed_.wait_for(lock, Microseconds(remaining));
        } else {
            return true;
        }
    }
}

} // namespace cardamomstep::standins
