// Decides from replies and read-backs whether a write took effect.
#include "store/resolution.h"

#include "store/writer.h"

#include <algorithm>
#include <utility>

namespace cardamomstep {

namespace {

/// Waits between attempts of one write, which a person or a proxy is waiting for.
constexpr BackoffOptions attemptWaits{Milliseconds{50}, Milliseconds{1000}};
/// When to ask again after an answer that names no better time.
constexpr Milliseconds comeBack{1000};

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
    , backoff_(attemptWaits)
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
        return finishedAt(reply.version);
    case WriteReplyKind::Mismatch:
        // An earlier copy of this write may be what moved the version on.
        if (replyLost_) {
            return ReadBack{};
        }
        return conflictAt(reply.version);
    case WriteReplyKind::TooLarge:
        return replyLost_ ? unknownAt({}) : WriteFinished{Error{ErrorKind::TooLarge, "the store refuses a value of this size"}};
    case WriteReplyKind::Rejected:
        return replyLost_ ? unknownAt({}) : WriteFinished{Error{ErrorKind::MalformedRequest, "the store refuses this write"}};
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
    if (!reply.answered) {
        readBackNext_ = true;
        return waitOrGiveUp(now);
    }
    if (!reply.object || reply.object->deleted) {
        return evaluateAbsence(now);
    }
    if (reply.object->version != write_.expected) {
        return evaluate(*reply.object);
    }
    // Not applied so far; a copy may still be on its way, so only another conditional write settles it.
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
        // Either another writer changed it first, or it was removed and made anew.
        return unknownAt(found.version);
    }
    const auto stamp = readWriterStamp(found.value);
    if (stamp.nonce == write_.nonce) {
        return finishedAt(found.version);
    }
    const auto ours = std::find_if(
        stamp.earlier.begin(), stamp.earlier.end(), [this](const EarlierWriter &writer) { return writer.nonce == write_.nonce; });
    if (ours != stamp.earlier.end()) {
        return finishedAt(ours->version);
    }
    // The chain of writers goes back to the version expected, without this write: another one came first.
    const bool chainReachesExpected = write_.expected.value != 0 && nonceAt(stamp, write_.expected) != nullptr;
    return chainReachesExpected ? conflictAt(found.version) : unknownAt(found.version);
}

WriteAction WriteResolution::evaluateAbsence(TimePoint now)
{
    if (write_.removal) {
        return finishedAt({});
    }
    if (write_.expected.value != 0) {
        return unknownAt({});
    }
    // Never applied, on its way, or applied and removed by another: sent again it could bring a removed object back.
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
    return WriteFinished{Error{ErrorKind::StoreUnavailable, "the store did not take the change"}.withRetryAfter(comeBack)};
}

WriteAction WriteResolution::finishedAt(Revision version) const
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
    auto error = Error{ErrorKind::StoreOutcomeUnknown, "the store's answer was lost; read the object back"}.withRetryAfter(comeBack);
    if (current.value != 0) {
        error.currentVersion = current.value;
    }
    return WriteFinished{std::move(error)};
}

} // namespace cardamomstep
