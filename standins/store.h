// A stand-in for the platform's store and instance list; see docs/design/platform.md.
#pragma once

#include "base/time.h"
#include "faults.h"
#include "server.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace cardamomstep::standins {

/// Options of a store.
struct StoreOptions {
    std::string domain;
    Address listen;
    /// Maximum number of changes and of other calls per second; 0 for no limit.
    unsigned writesPerSecond = 500;
    unsigned readsPerSecond = 2000;
};

/// Number of calls in the current second, in total, refused, and the peak per second.
struct CallRate {
    std::int64_t second = 0;
    std::uint64_t count = 0;
    std::uint64_t peakPerSecond = 0;
    std::uint64_t total = 0;
    std::uint64_t refused = 0;
};

/// The store with its instance list; serves requests until the process ends.
class Store
{
public:
    explicit Store(StoreOptions options);

    /// Serves requests; returns only if the address cannot be bound.
    void run();

private:
    using ObjectKey = std::pair<std::string, std::string>;

    struct Object {
        std::uint64_t version = 0;
        nlohmann::json value;
    };

    /// A list of instances and the time from which it is visible, in microseconds of the steady clock.
    ///
    /// An instance may have `"addressFrom": {"FAILURE-DOMAIN": "IP:port"}`: callers in that failure domain get this address, for
    /// example that of a relay.
    struct InstanceList {
        std::int64_t visibleAt = 0;
        nlohmann::json instances = nlohmann::json::array();
    };

    [[nodiscard]] Reply handle(const http::Request &request);
    [[nodiscard]] Reply control(const http::Request &request);
    [[nodiscard]] Reply object(const http::Request &request, const ObjectKey &key);
    [[nodiscard]] Reply list(const std::string &kind);
    [[nodiscard]] Reply put(const http::Request &request, const ObjectKey &key);
    [[nodiscard]] Reply erase(const http::Request &request, const ObjectKey &key);
    [[nodiscard]] Reply watch(const http::Request &request);
    [[nodiscard]] Reply instances(const Sender &sender);
    [[nodiscard]] bool admit(bool isWrite);
    [[nodiscard]] std::uint64_t versionOf(const ObjectKey &key) const;
    void record(const nlohmann::json &event);
    void addState(nlohmann::json &state);

    StoreOptions options_;
    Faults faults_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t revision_ = 0;
    std::map<ObjectKey, Object> objects_;
    /// The latest changes, oldest first; events up to compactedUpTo_ have been dropped.
    std::deque<nlohmann::json> events_;
    std::uint64_t compactedUpTo_ = 0;
    std::deque<InstanceList> instances_{InstanceList{}};
    CallRate writes_;
    CallRate reads_;
    std::uint64_t watches_ = 0;
    std::uint64_t peakWatches_ = 0;
};

} // namespace cardamomstep::standins
