// Determines the outcome of one conditional write, even when replies of the store are lost.
//
// Performs no I/O: the I/O layer performs the returned action and passes its result back, with the time.
#pragma once

#include "base/random.h"
#include "base/result.h"
#include "store/backoff.h"
#include "store/object.h"

#include <cstdint>
#include <optional>
#include <variant>

namespace cardamomstep {

/// One conditional put or removal.
struct StoreWrite {
    ObjectKey key;
    /// The value with its writer stamp (see withWriterStamp()); unused for a removal.
    std::string value;
    /// Version that the store must hold: 0 means that the object must not exist; never 0 for a removal.
    Revision expected;
    /// The nonce that `value` carries; unused for a removal.
    WriterNonce nonce;
    bool removal = false;
};

/// A confirmed write.
struct StoreWritten {
    /// Revision of the change; 0 for a removal that was confirmed only by the object's absence.
    Revision version;
    /// True when a reply was lost and the outcome was resolved by reading back.
    bool resolved = false;

    [[nodiscard]] bool operator==(const StoreWritten &) const = default;
};

/// How an attempt to send the write ended.
enum class WriteReplyKind : std::uint8_t {
    Written, ///< Status 200.
    Mismatch, ///< Status 412, or 404 for a removal.
    NotSent, ///< No byte left this process.
    TooManyCalls, ///< Status 429, or the own call budget is used up: nothing was changed.
    TooLarge, ///< Status 413: refused, nothing was changed.
    Rejected, ///< Another status from 400 to 499: refused, nothing was changed.
    Lost, ///< No usable reply after bytes had left, or a status of 500 or above: the object may have been changed.
};

/// Result of one attempt to send the write.
struct WriteReply {
    WriteReplyKind kind = WriteReplyKind::Lost;
    /// The new version (Written) or the current one (Mismatch; 0 when absent).
    Revision version;
};

/// Result of reading the object back.
struct ReadBackReply {
    /// False when the store gave no usable reply.
    bool replied = false;
    /// The object, or nothing when the store reports that there is none.
    std::optional<StoredObject> object;
};

/// Send the write now.
struct SendStoreWrite {
    [[nodiscard]] bool operator==(const SendStoreWrite &) const = default;
};
/// Read the object now.
struct ReadBack {
    [[nodiscard]] bool operator==(const ReadBack &) const = default;
};
/// Do nothing until `time`, then call WriteResolution::onWaited().
struct WaitUntil {
    TimePoint time;
    [[nodiscard]] bool operator==(const WaitUntil &) const = default;
};
/// The outcome is known, or cannot be determined before the deadline.
///
/// Errors: Conflict (certainly not applied, with the current version), StoreUnavailable (certainly not applied),
/// TooLarge, MalformedRequest, StoreOutcomeUnknown.
struct WriteFinished {
    Result<StoreWritten> outcome;
};
using WriteAction = std::variant<SendStoreWrite, ReadBack, WaitUntil, WriteFinished>;

/// State machine of one write.
///
/// A write is sent again only while the store still holds the expected version, so that at most one copy takes effect.
/// While a copy may still be in transit, "not applied" is reported only once the version has advanced past the expected one.
/// The creation of an object is never sent again after a lost reply: absence does not show whether it was created and removed since.
class WriteResolution
{
public:
    /// Prepares \a write, which is abandoned at \a deadline.
    WriteResolution(StoreWrite write, TimePoint deadline, std::uint64_t seed);

    /// Returns the first action.
    [[nodiscard]] static WriteAction start();
    /// Handles the result of SendStoreWrite.
    [[nodiscard]] WriteAction onWriteReply(const WriteReply &reply, TimePoint now);
    /// Handles the result of ReadBack.
    [[nodiscard]] WriteAction onReadBack(const ReadBackReply &reply, TimePoint now);
    /// Continues after WaitUntil.
    [[nodiscard]] WriteAction onWaited(TimePoint now);

private:
    [[nodiscard]] WriteAction evaluate(const StoredObject &found);
    [[nodiscard]] WriteAction evaluateAbsence(TimePoint now);
    [[nodiscard]] WriteAction waitOrGiveUp(TimePoint now);
    [[nodiscard]] WriteAction giveUp() const;
    [[nodiscard]] WriteAction writtenAt(Revision version) const;
    [[nodiscard]] WriteAction conflictAt(Revision current) const;
    [[nodiscard]] WriteAction unknownAt(Revision current) const;

    StoreWrite write_;
    TimePoint deadline_;
    Random random_;
    Backoff backoff_;
    /// True once a copy was sent whose reply was lost; never reset.
    bool replyLost_ = false;
    /// True when the step after the next wait is to read back.
    bool readBackNext_ = false;
};

} // namespace cardamomstep
