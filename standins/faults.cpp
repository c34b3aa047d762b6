// Merges fault settings from control messages and reports those in force.
#include "faults.h"

#include <nlohmann/json.hpp>

namespace cardamomstep::standins {

namespace {

using Json = nlohmann::json;
using DoubleMilliseconds = std::chrono::duration<double, std::milli>;

constexpr const char *answerFaultNames[] = {"loseAnswers", "truncateAnswers", "swapAnswers", "duplicateAnswers", "dropRows"};

std::chrono::microseconds toMicroseconds(DoubleMilliseconds time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time);
}

template<typename T>
void mergeValue(const Json &change, const char *name, T &value)
{
    if (change.contains(name)) {
        value = change.at(name).get<T>();
    }
}

void mergeDuration(const Json &change, const char *name, DoubleMilliseconds &value)
{
    if (change.contains(name)) {
        value = DoubleMilliseconds{change.at(name).get<double>()};
    }
}

Outage outageFromText(const std::string &text)
{
    if (text == "503") {
        return Outage::Refusing;
    }
    return text == "silent" ? Outage::Silent : Outage::None;
}

} // namespace

Faults::Faults(std::string domain)
    : domain_(std::move(domain))
{
}

void Faults::merge(const Json &change)
{
    const std::lock_guard lock(mutex_);
    for (const auto &delay : change.value("delays", Json::array())) {
        const std::pair pair{delay.at("from").get<std::string>(), delay.at("to").get<std::string>()};
        delays_[pair] = {DoubleMilliseconds{delay.value("ms", 0.0)}, DoubleMilliseconds{delay.value("jitterMs", 0.0)}};
    }
    mergeValue(change, "cut", cut_);
    mergeValue(change, "cutSilently", cutsSilently_);
    mergeValue(change, "freeze", frozen_);
    mergeValue(change, "stuck", stuck_);
    mergeValue(change, "leaving", leaving_);
    mergeValue(change, "refuseWork", refusesWork_);
    mergeDuration(change, "lagMs", lag_);
    mergeDuration(change, "slowMs", extraServiceTime_);
    for (const auto *name : answerFaultNames) {
        mergeValue(change, name, pendingAnswerFaults_[name]);
    }
    if (change.contains("outage")) {
        outage_ = outageFromText(change.at("outage").get<std::string>());
    }
    if (change.contains("seed")) {
        random_ = Random{change.at("seed").get<std::uint64_t>()};
    }
    changed_.notify_all();
}

Json Faults::state() const
{
    const std::lock_guard lock(mutex_);
    return {{"cut", cut_},
            {"cutSilently", cutsSilently_},
            {"freeze", frozen_},
            {"stuck", stuck_},
            {"leaving", leaving_},
            {"lagMs", lag_.count()},
            {"slowMs", extraServiceTime_.count()},
            {"outage",
             outage_ == Outage::None         ? ""
                 : outage_ == Outage::Silent ? "silent"
                                             : "503"},
            {"answers", pendingAnswerFaults_}};
}

std::chrono::microseconds Faults::drawDelay(const std::string &from, const std::string &to)
{
    const std::lock_guard lock(mutex_);
    auto found = delays_.find({from, to});
    if (found == delays_.end()) {
        found = delays_.find({to, from});
    }
    if (found == delays_.end()) {
        return std::chrono::microseconds{0};
    }
    const auto jitter = toMicroseconds(found->second.jitter);
    const auto extra = random_.below(static_cast<std::uint64_t>(jitter.count()) + 1);
    return toMicroseconds(found->second.base) + std::chrono::microseconds{extra};
}

void Faults::waitWhileFrozen()
{
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return !frozen_; });
}

bool Faults::isCut(const std::string &name) const
{
    const std::lock_guard lock(mutex_);
    return cut_.count(name) > 0;
}

bool Faults::cutsSilently() const
{
    const std::lock_guard lock(mutex_);
    return cutsSilently_;
}

Outage Faults::outage() const
{
    const std::lock_guard lock(mutex_);
    return outage_;
}

std::chrono::microseconds Faults::extraServiceTime() const
{
    const std::lock_guard lock(mutex_);
    return toMicroseconds(extraServiceTime_);
}

std::chrono::microseconds Faults::lag() const
{
    const std::lock_guard lock(mutex_);
    return toMicroseconds(lag_);
}

bool Faults::stuck() const
{
    const std::lock_guard lock(mutex_);
    return stuck_;
}

bool Faults::leaving() const
{
    const std::lock_guard lock(mutex_);
    return leaving_;
}

bool Faults::refusesWork() const
{
    const std::lock_guard lock(mutex_);
    return refusesWork_;
}

bool Faults::consume(const char *name)
{
    const auto found = pendingAnswerFaults_.find(name);
    if (found == pendingAnswerFaults_.end() || found->second == 0) {
        return false;
    }
    --found->second;
    return true;
}

AnswerFault Faults::consumeAnswerFault(bool isChange)
{
    const std::lock_guard lock(mutex_);
    if (isChange && consume("loseAnswers")) {
        return AnswerFault::Lost;
    }
    if (consume("truncateAnswers")) {
        return AnswerFault::Truncated;
    }
    if (consume("swapAnswers")) {
        return AnswerFault::Swapped;
    }
    if (consume("duplicateAnswers")) {
        return AnswerFault::Duplicated;
    }
    return consume("dropRows") ? AnswerFault::RowMissing : AnswerFault::None;
}

} // namespace cardamomstep::standins
