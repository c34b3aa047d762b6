// Implements RecordStore with the platform's store.
#pragma once

#include "base/random.h"
#include "base/result.h"
#include "operators/store.h"
#include "store/object.h"
#include "store/storeclient.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace cardamomstep::operators {

/// A RecordStore that uses the platform's store client; thread-safe.
class PlatformStore
{
public:
    /// \a client must outlive this object; \a seed must differ between processes, since the nonces of writes are generated from it.
    PlatformStore(StoreClient &client, std::uint64_t seed, Milliseconds timeout);

    /// Functions of RecordStore.
    [[nodiscard]] Result<StoredText> get(const RecordKey &key);
    [[nodiscard]] Result<std::vector<StoredText>> list(RecordKind kind);
    [[nodiscard]] Result<std::uint64_t> put(const RecordKey &key, const std::string &text, const StoredText *replaced);
    [[nodiscard]] Result<std::uint64_t> remove(const RecordKey &key, std::uint64_t version);

private:
    [[nodiscard]] WriterNonce drawNonce();

    StoreClient &client_;
    Milliseconds timeout_;
    std::mutex mutex_;
    // Guarded by mutex_.
    Random random_;
};

static_assert(RecordStore<PlatformStore>);

} // namespace cardamomstep::operators
