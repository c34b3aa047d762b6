"""Tests that the checker accepts correct histories and detects each kind of planted violation."""

import random
import sys

import checker
from checker import Event, check_history
from verdicts import check, check_equal, run_cases

SEEDS = range(200)


def write(session, start, item, key="k", ran="yes", request_id=None):
    return Event(session, "append", start, start + 1, request_id or item, [(key, item)], ran)


def read(session, start, items, key="k", **more):
    return Event(session, "read", start, start + 1, ran="yes", key=key, seen={key: items}, **more)


def transaction(session, start, request_id, keys, ran="yes"):
    return Event(session, "transaction", start, start + 1, request_id, [(key, f"{request_id}/{key}") for key in keys], ran)


def outcome(session, start, request_id, ran):
    return Event(session, "outcome", start, start + 1, request_id, ran=ran)


def kinds(events, final):
    return {violation.kind for violation in check_history(events, final)}


def correct_history(seed):
    """Generates a correct history of several sessions with refusals and lost answers; returns (events, final rows)."""
    rng = random.Random(seed)
    rows = {key: [] for key in ("a", "b", "c")}
    events = []
    for number in range(60):
        session, key, start = f"s{rng.randrange(4)}", rng.choice("abc"), 2.0 * number
        operation = rng.choice(["append", "append", "read", "list", "transaction"])
        ran = rng.choice(["yes", "yes", "yes", "no", "unknown"])
        took_effect = ran == "yes" or (ran == "unknown" and rng.random() < 0.5)
        if operation == "read":
            events.append(read(session, start, list(rows[key]), key))
            continue
        if operation == "list":
            seen = {name: list(items) for name, items in rows.items()}
            events.append(Event(session, "read", start, start + 1, ran="yes", key="", seen=seen))
            continue
        event = write(session, start, f"i{number}", key, ran)
        if operation == "transaction":
            event = transaction(session, start, f"t{number}", ["a", "b"], ran)
        events.append(event)
        if took_effect:
            for name, item in event.effects:
                rows[name].append(item)
        if ran == "unknown" and rng.random() < 0.5:
            events.append(outcome(session, start + 1, event.request_id, "yes" if took_effect else "no"))
    return events, rows


def accepts_correct_histories():
    for seed in SEEDS:
        events, final = correct_history(seed)
        check_equal(check_history(events, final), [], f"violations at seed {seed}")


def catches_stale_own_read():
    events = [write("s", 0, "i1"), read("s", 2, [])]
    check_equal(kinds(events, {"k": ["i1"]}), {checker.STALE_OWN_READ}, "violations")


def allows_reads_of_other_sessions_and_earlier_reads():
    events = [write("s", 2, "i1"), read("s", 0, []), read("other", 4, [])]
    check_equal(kinds(events, {"k": ["i1"]}), set(), "violations")


def catches_stale_read_after_transaction():
    events = [transaction("s", 0, "t1", ["k", "l"]), read("s", 2, [], "l")]
    check_equal(kinds(events, {"k": ["t1/k"], "l": ["t1/l"]}), {checker.STALE_OWN_READ}, "violations")


def catches_lost_write():
    check_equal(kinds([write("s", 0, "i1")], {"k": []}), {checker.LOST_WRITE}, "violations")


def catches_lost_write_after_outcome():
    events = [write("s", 0, "i1", ran="unknown"), outcome("s", 2, "i1", "yes")]
    check_equal(kinds(events, {}), {checker.LOST_WRITE}, "violations")


def catches_doubled_effect():
    check_equal(kinds([write("s", 0, "i1")], {"k": ["i1", "i1"]}), {checker.DOUBLED_EFFECT}, "at the end")
    events = [write("s", 0, "i1"), read("s", 2, ["i1", "i1"])]
    check_equal(kinds(events, {"k": ["i1"]}), {checker.DOUBLED_EFFECT}, "in a read")


def catches_partial_transaction():
    for ran in ("yes", "unknown"):
        found = kinds([transaction("s", 0, "t1", ["a", "b"], ran)], {"a": ["t1/a"], "b": []})
        check(checker.MIXED_TRANSACTION in found, f"partial transaction that ran {ran}")


def catches_partial_read():
    partial = Event("other", "read", 2, 3, ran="yes", key="", seen={"a": ["t1/a"], "b": []})
    events = [transaction("s", 0, "t1", ["a", "b"]), partial]
    check_equal(kinds(events, {"a": ["t1/a"], "b": ["t1/b"]}), {checker.MIXED_TRANSACTION}, "violations")


def catches_reads_of_uncommitted_items():
    never_committed = transaction("s", 0, "t1", ["k"], "no")
    never_committed.sent = False
    events = [never_committed, read("other", 2, ["t1/k"], inside="t2")]
    check_equal(kinds(events, {"k": []}), {checker.MIXED_TRANSACTION}, "seen by a read in another transaction")
    events = [never_committed, read("other", 2, ["t1/k"])]
    check(checker.MIXED_TRANSACTION in kinds(events, {"k": []}), "seen by a read outside a transaction")
    events = [never_committed, read("s", 2, ["t1/k"], inside="t1")]
    check_equal(kinds(events, {"k": []}), set(), "seen by a read in the same transaction")


def catches_false_not_run():
    check_equal(kinds([write("s", 0, "i1", ran="no")], {"k": ["i1"]}), {checker.FALSE_NOT_RUN}, "at the end")
    events = [transaction("s", 0, "t1", ["a", "b"], "no")]
    check_equal(kinds(events, {"a": ["t1/a"], "b": ["t1/b"]}), {checker.FALSE_NOT_RUN}, "transaction")


def catches_vanished_reads():
    for ran in ("no", "unknown"):
        events = [write("s", 0, "i1", ran=ran), read("other", 2, ["i1"])]
        check_equal(kinds(events, {"k": []}), {checker.VANISHED_READ}, f"write that ran {ran}")


def catches_false_outcome():
    events = [write("s", 0, "i1", ran="unknown"), outcome("s", 2, "i1", "no")]
    check_equal(kinds(events, {"k": ["i1"]}), {checker.FALSE_NOT_RUN}, "violations")


def allows_a_resend_after_not_run():
    events = [write("s", 0, "i1", ran="no"), write("s", 2, "i1", ran="yes")]
    check_equal(kinds(events, {"k": ["i1"]}), set(), "violations")


def catches_wrong_answers():
    event = read("s", 0, ["i1"])
    event.row_count, event.rows = 2, 1
    check_equal(kinds([event], {"k": ["i1"]}), {checker.WRONG_ANSWER}, "row count")
    event = write("s", 0, "i1")
    event.answered_id = "i2"
    check_equal(kinds([event], {"k": ["i1"]}), {checker.WRONG_ANSWER}, "request id")
    event = Event("s", "read", 0, 1, ran="yes", key="k", seen={"other": []})
    check_equal(kinds([event], {}), {checker.WRONG_ANSWER}, "key")


def catches_violations_planted_in_correct_histories():
    planted = 0
    for seed in SEEDS:
        events, final = correct_history(seed)
        acknowledged = [event for event in events if event.kind == "append" and event.ran == "yes"]
        if not acknowledged:
            continue
        key, item = random.Random(seed).choice(acknowledged).effects[0]
        without = {name: [other for other in items if other != item] for name, items in final.items()}
        check(checker.LOST_WRITE in kinds(events, without), f"loss at seed {seed}")
        doubled = {**final, key: [*final[key], item]}
        check(checker.DOUBLED_EFFECT in kinds(events, doubled), f"doubling at seed {seed}")
        planted += 1
    check(planted > 0, "violations were planted")


CASES = [
    accepts_correct_histories,
    catches_stale_own_read,
    allows_reads_of_other_sessions_and_earlier_reads,
    catches_stale_read_after_transaction,
    catches_lost_write,
    catches_lost_write_after_outcome,
    catches_doubled_effect,
    catches_partial_transaction,
    catches_partial_read,
    catches_reads_of_uncommitted_items,
    catches_false_not_run,
    catches_vanished_reads,
    catches_false_outcome,
    allows_a_resend_after_not_run,
    catches_wrong_answers,
    catches_violations_planted_in_correct_histories,
]

if __name__ == "__main__":
    sys.exit(run_cases(CASES))
