// Forward declarations of the store module: the platform's store, its instance list and the budget of calls to it.
#pragma once

namespace cardamomstep {

struct StoreEpoch;
struct Revision;
struct ObjectKey;
struct StoredObject;
struct StoreListing;
struct StoreChanges;
struct StoreWrite;
struct StoreWritten;
struct ListedInstance;
struct StoreOptions;
class StoreClient;
class WriteResolution;
class CallBudget;
class Backoff;
class WatchResume;
class StoreEpochs;

} // namespace cardamomstep
