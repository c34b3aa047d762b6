"""Checks a whole history of callers against the promises.

Every write appends an item that is used once, so each effect can be told from all others. An item is the request id of the
statement or transaction that wrote it, or begins with that id and a slash.
"""

from collections import Counter, defaultdict
from dataclasses import dataclass, field


@dataclass
class Event:
    """One request of a caller.

    kind: "append", "read" (of one key), "transaction" (appends as a whole) or "outcome" (a question about `request_id`).
    start, end: monotonic times at the caller.
    effects: pairs (key, item) that the request appends.
    ran: "yes", "no" or "unknown" for requests with effects and for outcome questions; for reads "yes" when answered.
    seen: for reads, lists of items by key, as answered.
    sent: False for a transaction whose commit was never sent.
    inside: for reads inside a transaction, its request id.
    row_count, rows: the row count that the answer names, and its rows counted.
    answered_id: the request id that the answer names.
    mark, served_by: place in the log and member, as answered; for people who look into a violation.
    """

    session: str
    kind: str
    start: float
    end: float
    request_id: str = ""
    effects: list = field(default_factory=list)
    ran: str = "unknown"
    sent: bool = True
    key: str = ""
    seen: dict = field(default_factory=dict)
    inside: str = ""
    row_count: int = None
    rows: int = None
    answered_id: str = ""
    mark: str = ""
    served_by: str = ""


@dataclass(frozen=True)
class Violation:
    """A broken promise."""

    kind: str
    description: str


STALE_OWN_READ = "stale-own-read"
LOST_WRITE = "acknowledged-write-lost"
DOUBLED_EFFECT = "doubled-effect"
MIXED_TRANSACTION = "mixed-transaction"
FALSE_NOT_RUN = "false-not-run"
VANISHED_READ = "vanished-read"
WRONG_ANSWER = "wrong-answer"


def check_history(events, final):
    """Returns all violations in `events`; `final` holds the lists of items by key at the end of the run."""
    return [
        *stale_own_reads(events),
        *lost_writes(events, final),
        *doubled_effects(events, final),
        *mixed_transactions(events, final),
        *false_refusals(events, final),
        *vanished_reads(events, final),
        *wrong_answers(events),
    ]


def lists_seen(events, final):
    """All lists that anybody saw outside a transaction, as (description, key, items)."""
    for event in events:
        if event.kind == "read" and event.ran == "yes" and not event.inside:
            for key, items in event.seen.items():
                yield f"a read of session {event.session} at {event.start:.6f}", key, items
    for key, items in final.items():
        yield "the final rows", key, items


def stale_own_reads(events):
    """Reads that lack an item which the same session had been told of before the read began."""
    written = defaultdict(list)
    for event in events:
        if event.ran == "yes" and event.kind in ("append", "transaction"):
            written[event.session].append(event)
    violations = []
    for event in events:
        if event.kind != "read" or event.ran != "yes":
            continue
        own = [effect for write in written[event.session] if write.end <= event.start for effect in write.effects]
        for key, item in own:
            if key in event.seen and item not in event.seen[key]:
                text = f"session {event.session} read {key} at {event.start:.6f} without its own {item} {place(event)}"
                violations.append(Violation(STALE_OWN_READ, text))
    return violations


def place(event):
    """Where and when an answer came from."""
    return f"(by {event.served_by} at {event.mark}, answered at {event.end:.6f})"


def known_outcomes(events):
    """The request ids that were said to have run."""
    return {event.request_id for event in events if event.ran == "yes" and event.kind != "read"}


def lost_writes(events, final):
    """Effects of requests that were acknowledged, or told as run later, but are missing at the end."""
    acknowledged = known_outcomes(events)
    violations = []
    for event in events:
        if event.request_id not in acknowledged:
            continue
        for key, item in event.effects:
            if item not in final.get(key, []):
                violations.append(Violation(LOST_WRITE, f"{item} of {key} was acknowledged {place(event)} and is missing at the end"))
    return violations


def doubled_effects(events, final):
    """Items that stand twice in a list."""
    violations = []
    for where, key, items in lists_seen(events, final):
        for item, count in Counter(items).items():
            if count > 1:
                violations.append(Violation(DOUBLED_EFFECT, f"{item} stands {count} times in {key} in {where}"))
    return violations


def mixed_transactions(events, final):
    """Transactions that took effect in part, or were seen although they were never committed."""
    violations = []
    uncommitted = {item: event.request_id for event in events if not event.sent for _, item in event.effects}
    for event in events:
        if event.kind == "transaction":
            present = [item in final.get(key, []) for key, item in event.effects]
            if any(present) and not all(present):
                violations.append(Violation(MIXED_TRANSACTION, f"transaction {event.request_id} took effect in part"))
        if event.kind == "read" and event.ran == "yes":
            violations += uncommitted_items(event, uncommitted)
    return violations + partial_views(events)


def uncommitted_items(read, uncommitted):
    """Items that a read saw although their transaction, another than the read's own, was never committed."""
    seen = [item for items in read.seen.values() for item in items if item in uncommitted]
    foreign = [item for item in seen if uncommitted[item] != read.inside]
    text = f"session {read.session} saw at {read.start:.6f} what was never committed:"
    return [Violation(MIXED_TRANSACTION, f"{text} {item}") for item in foreign]


def partial_views(events):
    """Reads of many keys at once that saw a transaction in part."""
    transactions = [event for event in events if event.kind == "transaction"]
    violations = []
    for read in events:
        if read.kind != "read" or read.ran != "yes" or len(read.seen) < 2 or read.inside:
            continue
        for transaction in transactions:
            views = [item in read.seen[key] for key, item in transaction.effects if key in read.seen]
            if any(views) and not all(views):
                text = f"a read at {read.start:.6f} saw transaction {transaction.request_id} in part"
                violations.append(Violation(MIXED_TRANSACTION, text))
    return violations


def false_refusals(events, final):
    """Items of requests that were said not to have run, although they are there at the end."""
    requests = defaultdict(list)
    for event in events:
        if event.kind != "read":
            requests[event.request_id].append(event)
    violations = []
    for own in requests.values():
        if {event.ran for event in own} != {"no"} and not is_closed(own):
            continue
        for key, item in {effect for event in own for effect in event.effects}:
            if item in final.get(key, []):
                text = f"{item} was said not to have run {place(own[-1])}, but stands in {key} at the end"
                violations.append(Violation(FALSE_NOT_RUN, text))
    return violations


def is_closed(own):
    """True when an outcome question was answered "no" and no request under the same id ended later."""
    last_question = max((event.start for event in own if event.kind == "outcome" and event.ran == "no"), default=None)
    if last_question is None:
        return False
    return not any(event.kind != "outcome" and event.end > last_question for event in own)


def vanished_reads(events, final):
    """Reads that saw an item which is not there at the end: the request that wrote it was dropped, or is said not to have run."""
    violations = []
    for event in events:
        if event.kind != "read" or event.ran != "yes" or event.inside:
            continue
        for key, items in event.seen.items():
            for item in items:
                if item not in final.get(key, []):
                    text = f"session {event.session} saw {item} of {key} {place(event)}, but it is missing at the end"
                    violations.append(Violation(VANISHED_READ, text))
    return violations


def wrong_answers(events):
    """Answers that are not whole or belong to another request."""
    violations = []
    for event in events:
        if event.row_count is not None and event.row_count != event.rows:
            text = f"answer to {event.request_id} has {event.rows} rows, but says {event.row_count}"
            violations.append(Violation(WRONG_ANSWER, text))
        if event.answered_id and event.answered_id != event.request_id:
            violations.append(Violation(WRONG_ANSWER, f"answer to {event.request_id} belongs to {event.answered_id}"))
        if event.kind == "read" and event.ran == "yes":
            violations += items_of_other_keys(event)
    return violations


def items_of_other_keys(event):
    """Rows that the read did not ask for."""
    foreign = [key for key in event.seen if not key.startswith(event.key)]
    return [Violation(WRONG_ANSWER, f"a read of {event.key} at {event.start:.6f} was answered with {key}") for key in foreign]
