// The epoch of the store under which the lease holder grants primary tables.
#pragma once

#include "base/time.h"
#include "leadership/record.h"
#include "store/object.h"

namespace cardamomstep::leadership {

/// Decides under which epoch the lease holder grants tables, and when it may change primaries again.
///
/// A table that was granted under an epoch is passed on only to proxies that are registered in that epoch, and a primary change quiesces
/// the registered proxies. So once all tables that were granted under an earlier epoch have expired, every proxy with a table is quiesced.
class GrantEpoch
{
public:
    /// Time that proxies get to register in a new epoch, and to list each other, before tables are granted under it.
    static constexpr Milliseconds listingGrace{1500};

    /// Handles the acquisition of the lease in \a epoch: earlier tables were granted by another holder, whose lease has ended.
    void onAcquired(StoreEpoch epoch) noexcept
    {
        previous_ = epoch;
        newest_ = epoch;
    }

    /// Handles a new epoch of the store while the lease is held.
    void onStoreEpoch(StoreEpoch epoch, TimePoint now) noexcept
    {
        previous_ = at(now);
        newest_ = epoch;
        newestSince_ = now;
    }

    /// The epoch of tables granted at \a now.
    [[nodiscard]] StoreEpoch at(TimePoint now) const noexcept
    {
        return previous_ != newest_ && now - newestSince_ < listingGrace ? previous_ : newest_;
    }

    /// True when every table granted under an earlier epoch has expired at \a now.
    [[nodiscard]] bool earlierTablesExpired(TimePoint now) const noexcept
    {
        return previous_ == newest_ || now - newestSince_ >= listingGrace + primaryTableLease;
    }

private:
    StoreEpoch previous_;
    StoreEpoch newest_;
    TimePoint newestSince_;
};

} // namespace cardamomstep::leadership
