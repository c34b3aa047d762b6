"""Checks the recorded history of all callers against the guarantees.

Every write appends a unique item, so that each effect can be traced to its request. An item is the request id of the
statement or transaction that wrote it, or begins with that id and a slash.
"""

from collections import Counter, defaultdict
from dataclasses import dataclass, field


@dataclass
class Event:
    """One request of a caller.

    kind: "append", "read" (of one key or of a prefix), "transaction" (appends that commit together) or "outcome" (a query for the
        outcome of `request_id`).
    start, end: monotonic times at the caller.
    effects: pairs (key, item) that the request appends.
    ran: "yes", "no" or "unknown" for requests with effects and for outcome queries; for reads "yes" when answered.
    seen: for reads, the returned lists of items by key.
    sent: False for a transaction whose commit was never sent.
    inside: for reads in a transaction, its request id.
    row_count, rows: the row count that the answer states, and the number of rows that it holds.
    answered_id: the request id that the answer states.
    mark, served_by: the log position and the member that the answer states; only shown in descriptions of violations.
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
    """A broken guarantee."""

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


def observed_lists(events, final):
    """Yields all lists that reads outside a transaction returned and the final ones, as (description, key, items)."""
    for event in events:
        if event.kind == "read" and event.ran == "yes" and not event.inside:
            for key, items in event.seen.items():
                yield f"a read of session {event.session} at {event.start:.6f}", key, items
    for key, items in final.items():
        yield "the final rows", key, items


def stale_own_reads(events):
    """Finds reads that lack an item of a write that the same session had seen acknowledged before the read began."""
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
                text = f"session {event.session} read {key} at {event.start:.6f} without its own {item} {describe_source(event)}"
                violations.append(Violation(STALE_OWN_READ, text))
    return violations


def describe_source(event):
    """Returns the member, log position and time of an answer, for descriptions."""
    return f"(by {event.served_by} at {event.mark}, answered at {event.end:.6f})"


def ids_reported_as_run(events):
    """Returns the ids of the requests that some answer reported as run."""
    return {event.request_id for event in events if event.ran == "yes" and event.kind != "read"}


def lost_writes(events, final):
    """Finds effects of requests that an answer or a later outcome query reported as run, but that are missing at the end."""
    acknowledged = ids_reported_as_run(events)
    violations = []
    for event in events:
        if event.request_id not in acknowledged:
            continue
        for key, item in event.effects:
            if item not in final.get(key, []):
                violations.append(Violation(LOST_WRITE, f"{item} of {key} was acknowledged {describe_source(event)} and is missing at the end"))
    return violations


def doubled_effects(events, final):
    """Finds items that occur more than once in a list."""
    violations = []
    for where, key, items in observed_lists(events, final):
        for item, count in Counter(items).items():
            if count > 1:
                violations.append(Violation(DOUBLED_EFFECT, f"{item} occurs {count} times in {key} in {where}"))
    return violations


def mixed_transactions(events, final):
    """Finds transactions that took effect in part, or that others saw although they were never committed."""
    violations = []
    uncommitted = {item: event.request_id for event in events if not event.sent for _, item in event.effects}
    for event in events:
        if event.kind == "transaction":
            present = [item in final.get(key, []) for key, item in event.effects]
            if any(present) and not all(present):
                violations.append(Violation(MIXED_TRANSACTION, f"transaction {event.request_id} took effect in part"))
        if event.kind == "read" and event.ran == "yes":
            violations += uncommitted_items(event, uncommitted)
    return violations + partial_reads(events)


def uncommitted_items(read, uncommitted):
    """Finds items that a read saw although their transaction, not the read's own, was never committed."""
    seen = [item for items in read.seen.values() for item in items if item in uncommitted]
    foreign = [item for item in seen if uncommitted[item] != read.inside]
    text = f"session {read.session} saw at {read.start:.6f} an item that was never committed:"
    return [Violation(MIXED_TRANSACTION, f"{text} {item}") for item in foreign]


def partial_reads(events):
    """Finds reads of several keys that saw some effects of a transaction but not all."""
    transactions = [event for event in events if event.kind == "transaction"]
    violations = []
    for read in events:
        if read.kind != "read" or read.ran != "yes" or len(read.seen) < 2 or read.inside:
            continue
        for transaction in transactions:
            visible = [item in read.seen[key] for key, item in transaction.effects if key in read.seen]
            if any(visible) and not all(visible):
                text = f"a read at {read.start:.6f} saw transaction {transaction.request_id} in part"
                violations.append(Violation(MIXED_TRANSACTION, text))
    return violations


def false_refusals(events, final):
    """Finds items that exist at the end although their request was reported as not run."""
    requests = defaultdict(list)
    for event in events:
        if event.kind != "read":
            requests[event.request_id].append(event)
    violations = []
    for events_of_id in requests.values():
        if {event.ran for event in events_of_id} != {"no"} and not is_closed(events_of_id):
            continue
        for key, item in {effect for event in events_of_id for effect in event.effects}:
            if item in final.get(key, []):
                text = f"{item} was reported as not run {describe_source(events_of_id[-1])}, but is in {key} at the end"
                violations.append(Violation(FALSE_NOT_RUN, text))
    return violations


def is_closed(events_of_id):
    """Returns true when an outcome query was answered "no" and all requests with the id had ended before that query began."""
    last_query = max((event.start for event in events_of_id if event.kind == "outcome" and event.ran == "no"), default=None)
    if last_query is None:
        return False
    return not any(event.kind != "outcome" and event.end > last_query for event in events_of_id)


def vanished_reads(events, final):
    """Finds reads that saw an item which is missing at the end: its request was lost, or was reported as not run."""
    violations = []
    for event in events:
        if event.kind != "read" or event.ran != "yes" or event.inside:
            continue
        for key, items in event.seen.items():
            for item in items:
                if item not in final.get(key, []):
                    text = f"session {event.session} saw {item} of {key} {describe_source(event)}, but it is missing at the end"
                    violations.append(Violation(VANISHED_READ, text))
    return violations


def wrong_answers(events):
    """Finds answers that are incomplete or belong to another request."""
    violations = []
    for event in events:
        if event.row_count is not None and event.row_count != event.rows:
            text = f"answer to {event.request_id} has {event.rows} rows, but states {event.row_count}"
            violations.append(Violation(WRONG_ANSWER, text))
        if event.answered_id and event.answered_id != event.request_id:
            violations.append(Violation(WRONG_ANSWER, f"answer to {event.request_id} belongs to {event.answered_id}"))
        if event.kind == "read" and event.ran == "yes":
            violations += items_of_other_keys(event)
    return violations


def items_of_other_keys(event):
    """Finds answers with rows of keys that the read did not request."""
    foreign = [key for key in event.seen if not key.startswith(event.key)]
    return [Violation(WRONG_ANSWER, f"a read of {event.key} at {event.start:.6f} was answered with {key}") for key in foreign]
