// Carries one conditional write to a certain outcome, also when answers of the store are lost.
//
// Pure: the shell performs the returned action and feeds its result back, with the time.
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
    /// The value with its writer's mark (see withWriterMark()); unused for a removal.
    std::string value;
    /// Version that must be in the store: 0 means that the object must not exist; never 0 for a removal.
    Revision expected;
    /// The nonce that `value` carries; unused for a removal.
    WriterNonce nonce;
    bool removal = false;
};

/// A confirmed write.
struct StoreWritten {
    /// Revision of the change; 0 for a removal that was confirmed only by the object's absence.
    Revision version;
    /// True when an answer was lost and the outcome was read back.
    bool resolved = false;

    [[nodiscard]] bool operator==(const StoreWritten &) const = default;
};

/// What came of sending the write once.
enum class WriteReplyKind : std::uint8_t {
    Written, ///< Status 200.
    Mismatch, ///< Status 412, or 404 for a removal.
    NotSent, ///< No byte left this process.
    TooManyCalls, ///< Status 429: refused, nothing was changed.
    TooLarge, ///< Status 413: refused, nothing was changed.
    Rejected, ///< Another status from 400 to 499: refused, nothing was changed.
    Lost, ///< No usable answer after bytes had left, or a status of 500 and up: it may have been changed.
};

/// Result of sending the write once.
struct WriteReply {
    WriteReplyKind kind = WriteReplyKind::Lost;
    /// The new version (Written) or the current one (Mismatch; 0 when absent).
    Revision version;
};

/// What came of reading the object back.
struct ReadBackReply {
    /// False when the store gave no usable answer.
    bool answered = false;
    /// The object, or nothing when the store says that there is none.
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
/// Do nothing until the time given, then call WriteResolution::onWaited().
struct WaitUntil {
    TimePoint time;
    [[nodiscard]] bool operator==(const WaitUntil &) const = default;
};
/// The outcome is known, or cannot be known within the time given.
///
/// Errors: Conflict (certainly not applied, with the current version), StoreUnavailable (certainly not applied),
/// TooLarge, MalformedRequest, StoreOutcomeUnknown.
struct WriteFinished {
    Result<StoreWritten> outcome;
};
using WriteAction = std::variant<SendStoreWrite, ReadBack, WaitUntil, WriteFinished>;

/// The state machine of one write.
///
/// A write is sent again only while the store still holds the expected version, so that at most one copy takes effect.
/// Where a copy may still be on its way, "not applied" is told only once the version has moved past the expected one.
/// The creation of an object is never sent again after a lost answer: absence does not show whether it was made and removed since.
class WriteResolution
{
public:
    /// Prepares \a write, to be given up on at \a deadline.
    WriteResolution(StoreWrite write, TimePoint deadline, std::uint64_t seed);

    /// The first action.
    [[nodiscard]] static WriteAction start();
    /// Takes the result of SendWrite.
    [[nodiscard]] WriteAction onWriteReply(const WriteReply &reply, TimePoint now);
    /// Takes the result of ReadBack.
    [[nodiscard]] WriteAction onReadBack(const ReadBackReply &reply, TimePoint now);
    /// Goes on after WaitUntil.
    [[nodiscard]] WriteAction onWaited(TimePoint now);

private:
    [[nodiscard]] WriteAction evaluate(const StoredObject &found);
    [[nodiscard]] WriteAction evaluateAbsence(TimePoint now);
    [[nodiscard]] WriteAction waitOrGiveUp(TimePoint now);
    [[nodiscard]] WriteAction giveUp() const;
    [[nodiscard]] WriteAction finishedAt(Revision version) const;
    [[nodiscard]] WriteAction conflictAt(Revision current) const;
    [[nodiscard]] WriteAction unknownAt(Revision current) const;

    StoreWrite write_;
    TimePoint deadline_;
    Random random_;
    Backoff backoff_;
    /// True once a copy was sent whose answer was lost; never becomes false again.
    bool replyLost_ = false;
    /// True when the next step after a wait is to read back.
    bool readBackNext_ = false;
};

} // namespace cardamomstep
