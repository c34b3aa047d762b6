"""Checks the promises of the pages while a soak runs, from what callers and members see."""

import collections

from platform_standins import statements

RECENT_STATEMENTS = 200_000


class Sent:
    """A statement as its caller sent it."""

    __slots__ = ("caller", "text", "route", "at", "fresh_from", "transaction", "values", "prepared", "own_commit", "runs", "told")

    def __init__(self, caller, text, route, at, fresh_from, transaction, values, prepared, own_commit):
        self.caller = caller
        self.text = text
        self.route = route
        self.at = at
        # Reads need what was acknowledged before this time, less the route's allowance.
        self.fresh_from = fresh_from
        self.transaction = transaction
        self.values = values
        self.prepared = prepared
        self.own_commit = own_commit
        self.runs = []
        self.told = None


class Promises:
    """Collects what was sent, run and told, and notes each breach."""

    def __init__(self, clock):
        self.clock = clock
        self.sent = {}
        self.order = collections.deque()
        self.breaches = []
        # Per group: acknowledged commits in order of their acknowledgement, as (time, commit).
        self.acknowledged = collections.defaultdict(list)
        # Per write id: the commits that hold it.
        self.commits_of = {}
        self.waived = set()
        self.last_token = 0
        self.last_holder = ""
        self.counts = collections.Counter()

    def breach(self, promise, story):
        self.breaches.append(f"{promise}: {story}")

    # What callers do and see.

    def send(self, identifier, sent):
        self.sent[identifier] = sent
        self.order.append(identifier)
        if len(self.order) > RECENT_STATEMENTS:
            self.sent.pop(self.order.popleft(), None)

    def answered(self, group, identifier, rows, signature):
        """A caller was told success for a read, write or commit."""
        sent = self.sent[identifier]
        sent.told = "ok"
        self.counts["ok"] += 1
        if not any(run == (signature, tuple(rows)) for run in sent.runs):
            self.breach("mixed answers", f"{identifier} {sent.text}: answer {signature} {rows}, members ran {sent.runs}")

    def acknowledged_writes(self, group, identifiers):
        """A caller was told that these writes are committed; returns the commit's position."""
        position = None
        for identifier in identifiers:
            commits = self.commits_of.get(identifier, [])
            if not commits:
                self.breach("acknowledged without commit", identifier)
                continue
            self.acknowledged[group.name].append((self.clock(), commits[-1]))
            position = commits[-1].position
        return position

    def refused(self, identifiers, code):
        """A caller was told an error; some errors promise that nothing is kept."""
        self.counts[code] += 1
        for identifier in identifiers:
            self.sent[identifier].told = code
            if code in statements.NOTHING_KEPT and self.commits_of.get(identifier):
                self.breach("false refusal", f"{identifier} was committed and its caller told {code}")

    # What members see.

    def ran(self, connection, identifier, text, access, signature, rows):
        member = connection.member
        sent = self.sent.get(identifier)
        if sent is None:
            self.breach("unasked", f"{member.name} ran {identifier} {text}")
            return
        sent.runs.append((signature, tuple(rows)))
        self._check_text(sent, identifier, text, connection)
        self._check_session(sent, identifier, connection)
        if access == statements.READ:
            self._check_fresh(sent, identifier, member)

    def _check_text(self, sent, identifier, text, connection):
        asked, ran = statements.prepared_call(sent.text), statements.prepared_call(text)
        if asked and ran:
            # The name may differ, what it stands for may not.
            same = connection.prepared.get(ran[0]) == sent.prepared.get(asked[0]) and asked[1] == ran[1]
        else:
            same = sent.text == text
        if not same:
            self.breach("another statement", f"{identifier}: {sent.text} ran as {text}")

    def _check_session(self, sent, identifier, connection):
        if connection.values != sent.values:
            self.breach("session values", f"{identifier}: {connection.values} instead of {sent.values}")
        transaction = connection.transaction
        if transaction is None:
            if sent.transaction is not None:
                self.breach("transaction", f"{identifier} ran outside of its transaction")
            return
        if transaction["owner"] is None:
            transaction["owner"] = (sent.caller, sent.transaction)
        if sent.transaction is None or transaction["owner"] != (sent.caller, sent.transaction):
            self.breach("transaction", f"{identifier} of {sent.caller} ran in the transaction of {transaction['owner']}")

    def _check_fresh(self, sent, identifier, member):
        horizon = sent.fresh_from - sent.route.staleness_s
        needed = None
        for at, commit in reversed(self.acknowledged[member.group.name]):
            if at < horizon:
                needed = commit
                break
        log = member.applied_commits()
        for commit, why in ((needed, "acknowledged"), (sent.own_commit, "its session's own")):
            if commit is not None and commit not in self.waived and commit not in log[-2000:]:
                self.breach("stale read", f"{identifier} at {member.name} ({member.role}) lacks {why} commit {commit.position}")

    def committed(self, member, commit):
        for identifier, _, _ in commit.writes:
            commits = self.commits_of.setdefault(identifier, [])
            commits.append(commit)
            if len(commits) > 1:
                self.breach("written twice", identifier)
            sent = self.sent.get(identifier)
            if sent is not None and sent.told in statements.NOTHING_KEPT:
                self.breach("false refusal", f"{identifier} was committed after its caller was told {sent.told}")

    def ordered(self, holder, token):
        """A promotion was ordered with a fencing token."""
        if token < self.last_token:
            self.breach("fencing token", f"{holder} ordered with {token} after {self.last_holder} with {self.last_token}")
        elif token == self.last_token and holder != self.last_holder:
            self.breach("fencing token", f"{holder} and {self.last_holder} share {token}")
        self.last_token, self.last_holder = token, holder

    def promoted(self, group, member):
        self.counts["promotions"] += 1
        held = set(member.log)
        for _, commit in self.acknowledged[group.name]:
            if commit not in held and commit not in self.waived:
                self.waived.add(commit)
                self.breach("lost write", f"{member.name} leads {group.name} without acknowledged {commit.position}")

    def check_logs(self, groups):
        """At the end: every leader holds every acknowledged write, once."""
        for group in groups:
            held = set(group.leader.log)
            for _, commit in self.acknowledged[group.name]:
                if commit not in held and commit not in self.waived:
                    self.breach("lost write", f"{group.leader.name} lacks acknowledged {commit.position} at the end")
            seen = collections.Counter(identifier for commit in group.leader.log for identifier, _, _ in commit.writes)
            for identifier, times in seen.items():
                if times > 1:
                    self.breach("written twice", f"{identifier} stands {times} times in the log of {group.leader.name}")
