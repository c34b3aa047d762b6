// Decides from replies and read-backs whether a write took effect.
#include "store/resolution.h"

#include "store/writer.h"

#include <algorithm>
#include <utility>

namespace cardamomstep {

namespace {

/// Delays between attempts of one write, while an operator or a proxy waits for its outcome.
constexpr BackoffOptions attemptBackoff{Milliseconds{50}, Milliseconds{1000}};
/// Retry-after of errors for which no better time is known.
constexpr Milliseconds defaultRetryAfter{1000};

const WriterNonce *nonceAt(const WriterStamp &stamp, Revision version)
{
    const auto entry =
        std::find_if(stamp.earlier.begin(), stamp.earlier.end(), [&](const EarlierWriter &writer) { return writer.version == version; });
    return entry == stamp.earlier.end() ? nullptr : &entry->nonce;
}

} // namespace

WriteResolution::WriteResolution(StoreWrite write, TimePoint deadline, std::uint64_t seed)
    : write_(std::move(write))
    , deadline_(deadline)
    , random_(seed)
    , backoff_(attemptBackoff)
{
}

WriteAction WriteResolution::start()
{
    return SendStoreWrite{};
}

WriteAction WriteResolution::onWriteReply(const WriteReply &reply, TimePoint now)
{
    switch (reply.kind) {
    case WriteReplyKind::Written:
        return writtenAt(reply.version);
    case WriteReplyKind::Mismatch:
        // An earlier copy of this write may have changed the version.
        if (replyLost_) {
            return ReadBack{};
        }
        return conflictAt(reply.version);
    case WriteReplyKind::TooLarge:
        return replyLost_ ? unknownAt({}) : WriteFinished{Error{ErrorKind::TooLarge, "the store rejected the value as too large"}};
    case WriteReplyKind::Rejected:
        return replyLost_ ? unknownAt({}) : WriteFinished{Error{ErrorKind::MalformedRequest, "the store rejected the write"}};
    case WriteReplyKind::NotSent:
    case WriteReplyKind::TooManyCalls:
        return waitOrGiveUp(now);
    case WriteReplyKind::Lost:
        break;
    }
    replyLost_ = true;
    if (now >= deadline_) {
        return giveUp();
    }
    return ReadBack{};
}

WriteAction WriteResolution::onReadBack(const ReadBackReply &reply, TimePoint now)
{
    if (!reply.replied) {
        readBackNext_ = true;
        return waitOrGiveUp(now);
    }
    if (!reply.object || reply.object->deleted) {
        return evaluateAbsence(now);
    }
    if (reply.object->version != write_.expected) {
        return evaluate(*reply.object);
    }
    // Not applied so far, but a copy may still be in transit, so only another conditional write can settle the outcome.
    readBackNext_ = false;
    return waitOrGiveUp(now);
}

WriteAction WriteResolution::onWaited(TimePoint now)
{
    if (now >= deadline_) {
        return giveUp();
    }
    if (readBackNext_) {
        readBackNext_ = false;
        return ReadBack{};
    }
    return SendStoreWrite{};
}

WriteAction WriteResolution::evaluate(const StoredObject &found)
{
    if (write_.removal) {
        // Either another writer changed it first, or it was removed and created again.
        return unknownAt(found.version);
    }
    const auto stamp = readWriterStamp(found.value);
    if (stamp.nonce == write_.nonce) {
        return writtenAt(found.version);
    }
    const auto ownEntry = std::find_if(
        stamp.earlier.begin(), stamp.earlier.end(), [this](const EarlierWriter &writer) { return writer.nonce == write_.nonce; });
    if (ownEntry != stamp.earlier.end()) {
        return writtenAt(ownEntry->version);
    }
    // The chain of writers goes back to the expected version without this write: another writer came first.
    const bool chainReachesExpected = write_.expected.value != 0 && nonceAt(stamp, write_.expected) != nullptr;
    return chainReachesExpected ? conflictAt(found.version) : unknownAt(found.version);
}

WriteAction WriteResolution::evaluateAbsence(TimePoint now)
{
    if (write_.removal) {
        return writtenAt({});
    }
    if (write_.expected.value != 0) {
        // Another writer removed the object; this write may have taken effect before that.
        return unknownAt({});
    }
    // Never applied, still in transit, or applied and removed by another writer: sending it again could recreate a removed object.
    readBackNext_ = true;
    return waitOrGiveUp(now);
}

WriteAction WriteResolution::waitOrGiveUp(TimePoint now)
{
    const auto time = now + backoff_.next(random_);
    if (time >= deadline_) {
        return giveUp();
    }
    return WaitUntil{time};
}

WriteAction WriteResolution::giveUp() const
{
    if (replyLost_) {
        return unknownAt({});
    }
    return WriteFinished{
        Error{ErrorKind::StoreUnavailable, "the store did not accept the write before the deadline"}.withRetryAfter(defaultRetryAfter)};
}

WriteAction WriteResolution::writtenAt(Revision version) const
{
    return WriteFinished{StoreWritten{version, replyLost_}};
}

WriteAction WriteResolution::conflictAt(Revision current) const
{
    Error error{ErrorKind::Conflict, "the object was changed by another writer"};
    error.currentVersion = current.value;
    return WriteFinished{std::move(error)};
}

WriteAction WriteResolution::unknownAt(Revision current) const
{
    auto error =
        Error{ErrorKind::StoreOutcomeUnknown, "the store's reply was lost; read the object back"}.withRetryAfter(defaultRetryAfter);
    if (current.value != 0) {
        error.currentVersion = current.value;
    }
    return WriteFinished{std::move(error)};
}

} // namespace cardamomstep
