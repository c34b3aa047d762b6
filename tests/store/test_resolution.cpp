// Tests of writes whose replies are lost, whose requests are delayed, or which race with another writer.
#include "modelstore.h"
#include "store/resolution.h"
#include "store/writer.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <functional>

using namespace cardamomstep;
using test::ModelStore;

namespace {

const ObjectKey key{ObjectKind{"group"}, ObjectName{"ledger-1"}};
constexpr TimePoint start{};
constexpr TimePoint deadline = start + Seconds{3};

StoreWrite writeOver(const ModelStore &store, const std::string &nonce)
{
    const auto replaced = store.get(key);
    const auto value = withWriterStamp("{}", WriterNonce{nonce}, replaced ? &*replaced : nullptr);
    return {key, *value, store.versionOf(key), WriterNonce{nonce}, false};
}

StoreWrite removalOf(const ModelStore &store)
{
    return {key, {}, store.versionOf(key), {}, true};
}

/// Delivers one attempt of a write to the model store.
using Channel = std::function<WriteReply(const StoreWrite &)>;
using Reader = std::function<ReadBackReply()>;

Result<StoreWritten> run(const StoreWrite &write, const Channel &send, const Reader &read, TimePoint from = start)
{
    WriteResolution resolution{write, from + Seconds{3}, 7};
    auto now = from;
    auto action = WriteResolution::start();
    while (!std::holds_alternative<WriteFinished>(action)) {
        now += Milliseconds{2};
        if (std::holds_alternative<SendStoreWrite>(action)) {
            action = resolution.onWriteReply(send(write), now);
        } else if (std::holds_alternative<ReadBack>(action)) {
            action = resolution.onReadBack(read(), now);
        } else {
            now = std::get<WaitUntil>(action).time;
            action = resolution.onWaited(now);
        }
    }
    return std::get<WriteFinished>(action).outcome;
}

Reader readerOf(const ModelStore &store)
{
    return [&store] {
        return ReadBackReply{true, store.get(key)};
    };
}

constexpr WriteReply lostReply{WriteReplyKind::Lost, {}};

/// Returns a channel that loses the first reply, after the store applied the write or without applying it.
Channel losingFirstReply(ModelStore &store, bool afterEffect)
{
    return [&store, afterEffect, sent = 0](const StoreWrite &write) mutable {
        if (sent++ > 0) {
            return store.apply(write);
        }
        if (afterEffect) {
            (void)store.apply(write);
        }
        return lostReply;
    };
}

} // namespace

Test(resolution, appliedWriteWithALostReplyIsReportedAsWritten)
{
    ModelStore store;
    (void)store.apply(writeOver(store, "before"));
    const auto outcome = run(writeOver(store, "mine"), losingFirstReply(store, true), readerOf(store));
    cr_assert(bool(outcome));
    cr_assert((*outcome == StoreWritten{Revision{2}, true}));
    cr_assert(store.history().size() == 2);
}

Test(resolution, lostRequestIsSentAgain)
{
    ModelStore store;
    (void)store.apply(writeOver(store, "before"));
    const auto outcome = run(writeOver(store, "mine"), losingFirstReply(store, false), readerOf(store));
    cr_assert(bool(outcome));
    cr_assert(outcome->version == Revision{2});
    cr_assert(store.history().size() == 2);
}

Test(resolution, writeWithALostReplyIsFoundAfterAnotherWriterReplacedIt)
{
    ModelStore store;
    (void)store.apply(writeOver(store, "before"));
    const auto send = [&](const StoreWrite &write) {
        (void)store.apply(write);
        (void)store.apply(writeOver(store, "other"));
        return lostReply;
    };
    const auto outcome = run(writeOver(store, "mine"), send, readerOf(store));
    cr_assert(bool(outcome));
    cr_assert(outcome->version == Revision{2});
}

Test(resolution, lostRequestFollowedByAnotherWritersChangeIsAConflict)
{
    ModelStore store;
    (void)store.apply(writeOver(store, "before"));
    const auto send = [&](const StoreWrite &) {
        (void)store.apply(writeOver(store, "other"));
        return lostReply;
    };
    const auto outcome = run(writeOver(store, "mine"), send, readerOf(store));
    cr_assert(!outcome);
    cr_assert(outcome.error().kind == ErrorKind::Conflict);
    cr_assert(outcome.error().ran == Ran::No);
    cr_assert(outcome.error().currentVersion == 2);
}

Test(resolution, exactlyOneOfTwoConcurrentWritersSucceeds)
{
    ModelStore store;
    (void)store.apply(writeOver(store, "before"));
    const auto first = writeOver(store, "first");
    const auto second = writeOver(store, "second");
    const auto firstOutcome = run(first, losingFirstReply(store, true), readerOf(store));
    const auto secondOutcome = run(second, losingFirstReply(store, true), readerOf(store));
    cr_assert(bool(firstOutcome) != bool(secondOutcome));
    cr_assert(store.history().size() == 2);
    cr_assert(readWriterStamp(store.get(key)->value).nonce == WriterNonce{"first"});
    cr_assert(secondOutcome.error().kind == ErrorKind::Conflict);
}

Test(resolution, outageBeforeTheFirstByteIsReportedAsNotApplied)
{
    ModelStore store;
    const auto send = [](const StoreWrite &) {
        return WriteReply{WriteReplyKind::NotSent, {}};
    };
    const auto outcome = run(writeOver(store, "mine"), send, readerOf(store));
    cr_assert(outcome.error().kind == ErrorKind::StoreUnavailable);
    cr_assert(outcome.error().ran == Ran::No);
    cr_assert(outcome.error().retryAfter.has_value());
}

Test(resolution, outageAfterALostReplyIsUnknown)
{
    ModelStore store;
    const auto send = [](const StoreWrite &) {
        return lostReply;
    };
    const auto outcome = run(writeOver(store, "mine"), send, [] { return ReadBackReply{}; });
    cr_assert(outcome.error().kind == ErrorKind::StoreOutcomeUnknown);
    cr_assert(outcome.error().ran == Ran::Unknown);
}

Test(resolution, lostCreationThatIsAbsentIsNotSentAgain)
{
    ModelStore store;
    const auto outcome = run(writeOver(store, "mine"), losingFirstReply(store, false), readerOf(store));
    cr_assert(outcome.error().kind == ErrorKind::StoreOutcomeUnknown);
    cr_assert(store.history().empty());
}

Test(resolution, appliedCreationWithALostReplyIsReportedAsWritten)
{
    ModelStore store;
    const auto outcome = run(writeOver(store, "mine"), losingFirstReply(store, true), readerOf(store));
    cr_assert(bool(outcome));
    cr_assert((*outcome == StoreWritten{Revision{1}, true}));
}

Test(resolution, lostRemovalIsResolvedByAbsence)
{
    ModelStore store;
    (void)store.apply(writeOver(store, "before"));
    const auto outcome = run(removalOf(store), losingFirstReply(store, true), readerOf(store));
    cr_assert(bool(outcome));
    cr_assert(outcome->resolved);
    cr_assert(!store.get(key).has_value());
}

// Three writers race; requests and replies are lost, and lost requests may arrive at any later moment.
Test(resolution, outcomesAreCorrectUnderLossAndDelay)
{
    setenv("RC_PARAMS", "max_success=5000", 0);
    const bool holds = rc::check("outcomes are correct", [] {
        ModelStore store;
        std::vector<StoreWrite> delayed;
        std::vector<std::pair<StoreWrite, Result<StoreWritten>>> outcomes;
        const auto deliverDelayed = [&] {
            if (!delayed.empty() && *rc::gen::inRange(0, 2) == 0) {
                (void)store.apply(delayed.back());
                delayed.pop_back();
            }
        };
        int others = 0;
        const auto otherWrites = [&] {
            if (*rc::gen::inRange(0, 3) == 0) {
                (void)store.apply(writeOver(store, "other" + std::to_string(++others)));
            } else if (store.get(key) && *rc::gen::inRange(0, 6) == 0) {
                (void)store.apply(removalOf(store));
            }
        };
        const auto send = [&](const StoreWrite &write) {
            otherWrites();
            deliverDelayed();
            switch (*rc::gen::inRange(0, 5)) {
            case 0:
                (void)store.apply(write);
                return lostReply;
            case 1:
                delayed.push_back(write);
                return lostReply;
            case 2:
                return WriteReply{WriteReplyKind::NotSent, {}};
            default:
                return store.apply(write);
            }
        };
        const auto read = [&] {
            otherWrites();
            deliverDelayed();
            return *rc::gen::inRange(0, 4) == 0 ? ReadBackReply{} : ReadBackReply{true, store.get(key)};
        };
        for (int writer = 0; writer < 3; ++writer) {
            const auto write = writeOver(store, "mine" + std::to_string(writer));
            outcomes.emplace_back(write, run(write, send, read));
        }
        for (const auto &write : delayed) {
            (void)store.apply(write);
        }
        for (const auto &[write, outcome] : outcomes) {
            std::size_t effects = 0;
            Revision version;
            for (const auto &change : store.history()) {
                if (!change.deleted && readWriterStamp(change.value).nonce == write.nonce) {
                    ++effects;
                    version = change.version;
                }
            }
            RC_ASSERT(effects <= 1U);
            if (outcome) {
                RC_ASSERT(effects == 1U);
                RC_ASSERT(outcome->version == version);
            } else if (outcome.error().ran == Ran::No) {
                RC_ASSERT(effects == 0U);
            }
        }
    });
    cr_assert(holds);
}
