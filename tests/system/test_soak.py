"""The fault soak: its checks catch a planted breach of each sort, and a short seeded run breaks nothing."""

import os
import subprocess
import sys
from types import SimpleNamespace

HERE = os.path.dirname(os.path.abspath(__file__))
SOAK = os.path.join(HERE, "..", "soak")
sys.path.insert(0, SOAK)

from platform_standins import Commit  # noqa: E402
from guaranteechecker import Promises, Sent  # noqa: E402
from verdicts import check, check_equal, run_cases  # noqa: E402

SECONDS_OF_FAULTS = 8
SEED = 7


class Scene:
    """A group of one leader and one replica, and a checker at a time of its own."""

    def __init__(self):
        self.now = 10.0
        self.promises = Promises(lambda: self.now)
        self.group = SimpleNamespace(name="db")
        self.leader = self.member("m1", "primary")
        self.replica = self.member("m2", "replica")
        self.group.leader = self.leader

    def member(self, name, role):
        member = SimpleNamespace(name=name, role=role, log=[], group=self.group)
        member.applied_commits = lambda: member.log
        return member

    def send(self, identifier, text, staleness_s=0.0, transaction=None, values=None, prepared=None, own_commit=None):
        route = SimpleNamespace(staleness_s=staleness_s)
        sent = Sent("c1", text, route, self.now, self.now, transaction, values or {}, prepared or {}, own_commit)
        self.promises.send(identifier, sent)

    def run(self, identifier, text, access="READ", member=None, values=None, prepared=None, transaction=None, rows=("r",)):
        connection = SimpleNamespace(
            member=member or self.leader, values=values or {}, prepared=prepared or {}, transaction=transaction
        )
        self.promises.ran(connection, identifier, text, access, "s1", list(rows))

    def commit(self, identifier, position, members):
        commit = Commit(position[0], position[1], [(identifier, "i", "d")])
        for member in members:
            member.log.append(commit)
        self.promises.committed(self.leader, commit)
        return commit

    def acknowledge(self, identifier):
        self.promises.acknowledged_writes(self.group, [identifier])

    def broken(self, promise):
        check_equal(len(self.promises.breaches), 1, f"breaches, all: {self.promises.breaches}")
        check(self.promises.breaches[0].startswith(promise), f"{promise} in {self.promises.breaches[0]}")


def a_true_course_breaks_nothing():
    scene = Scene()
    scene.send("w1", "WRITE i d")
    scene.run("w1", "WRITE i d", "WRITE", rows=())
    scene.commit("w1", (1, 1), [scene.leader, scene.replica])
    scene.promises.answered(scene.group, "w1", [], "s1")
    scene.acknowledge("w1")
    scene.now = 11.0
    scene.send("r1", "READ i")
    scene.run("r1", "READ i", member=scene.replica)
    scene.promises.answered(scene.group, "r1", ["r"], "s1")
    scene.promises.check_logs([scene.group])
    check_equal(scene.promises.breaches, [], "breaches")


def catches_an_answer_that_no_member_gave():
    scene = Scene()
    scene.send("r1", "READ i")
    scene.run("r1", "READ i")
    scene.promises.answered(scene.group, "r1", ["other"], "s1")
    scene.broken("mixed answers")


def catches_a_statement_nobody_sent():
    scene = Scene()
    scene.run("r1", "READ i")
    scene.broken("unasked")


def catches_a_changed_statement():
    scene = Scene()
    scene.send("r1", "READ i")
    scene.run("r1", "READ j")
    scene.broken("another statement")


def catches_another_shape_of_a_prepared_name():
    scene = Scene()
    scene.send("r1", "EXECUTE s1 i", prepared={"s1": ("READ", "q1")})
    scene.run("r1", "EXECUTE p i", prepared={"p": ("READ", "q2")})
    scene.broken("another statement")


def catches_values_of_another_session():
    scene = Scene()
    scene.send("r1", "READ i", values={"tz": "1"})
    scene.run("r1", "READ i", values={"tz": "2"})
    scene.broken("session values")


def catches_a_statement_in_another_transaction():
    scene = Scene()
    scene.send("r1", "READ i")
    scene.run("r1", "READ i", transaction={"owner": ("c9", "t9")})
    scene.broken("transaction")


def catches_a_statement_outside_its_transaction():
    scene = Scene()
    scene.send("r1", "READ i", transaction="t1")
    scene.run("r1", "READ i")
    scene.broken("transaction")


def catches_a_read_without_an_acknowledged_commit():
    scene = Scene()
    scene.send("w1", "WRITE i d")
    scene.commit("w1", (1, 1), [scene.leader])
    scene.acknowledge("w1")
    scene.now = 11.0
    scene.send("r1", "READ i")
    scene.run("r1", "READ i", member=scene.replica)
    scene.broken("stale read")


def allows_a_read_as_old_as_its_route_allows():
    scene = Scene()
    scene.send("w1", "WRITE i d")
    scene.commit("w1", (1, 1), [scene.leader])
    scene.acknowledge("w1")
    scene.now = 11.0
    scene.send("r1", "READ i", staleness_s=1.5)
    scene.run("r1", "READ i", member=scene.replica)
    check_equal(scene.promises.breaches, [], "breaches")


def catches_a_read_without_the_sessions_own_commit():
    scene = Scene()
    scene.send("w1", "WRITE i d")
    commit = scene.commit("w1", (1, 1), [scene.leader])
    scene.send("r1", "READ i", staleness_s=5.0, own_commit=commit)
    scene.run("r1", "READ i", member=scene.replica)
    scene.broken("stale read")


def catches_a_write_that_takes_effect_twice():
    scene = Scene()
    scene.send("w1", "WRITE i d")
    scene.commit("w1", (1, 1), [scene.leader])
    scene.commit("w1", (1, 2), [scene.leader])
    scene.broken("written twice")


def catches_a_refusal_of_what_was_committed():
    scene = Scene()
    scene.send("w1", "WRITE i d")
    scene.commit("w1", (1, 1), [scene.leader])
    scene.promises.refused(["w1"], "BUSY")
    scene.broken("false refusal")


def catches_a_commit_after_its_refusal():
    scene = Scene()
    scene.send("w1", "WRITE i d")
    scene.promises.refused(["w1"], "ABORTED")
    scene.commit("w1", (1, 1), [scene.leader])
    scene.broken("false refusal")


def catches_an_acknowledgement_of_nothing():
    scene = Scene()
    scene.send("w1", "WRITE i d")
    scene.acknowledge("w1")
    scene.broken("acknowledged without commit")


def catches_a_leader_without_an_acknowledged_write():
    scene = Scene()
    scene.send("w1", "WRITE i d")
    scene.commit("w1", (1, 1), [scene.leader])
    scene.acknowledge("w1")
    scene.promises.promoted(scene.group, scene.replica)
    scene.broken("lost write")


def catches_an_acknowledged_write_missing_at_the_end():
    scene = Scene()
    scene.send("w1", "WRITE i d")
    scene.commit("w1", (1, 1), [scene.replica])
    scene.acknowledge("w1")
    scene.promises.check_logs([scene.group])
    scene.broken("lost write")


def catches_a_falling_fencing_token():
    scene = Scene()
    scene.promises.ordered("p1", 7)
    scene.promises.ordered("p2", 6)
    scene.broken("fencing token")


def catches_two_holders_of_one_fencing_token():
    scene = Scene()
    scene.promises.ordered("p1", 7)
    scene.promises.ordered("p2", 7)
    scene.broken("fencing token")


def a_short_run_with_faults_breaks_nothing():
    command = [sys.executable, "-B", os.path.join(SOAK, "soak.py"), sys.argv[1]]
    options = ["--seed", SEED, "--seconds", SECONDS_OF_FAULTS, "--processes", 5, "--callers", 10]
    ended = subprocess.run(command + [str(option) for option in options], capture_output=True, text=True, check=False)
    check(ended.returncode == 0, ended.stdout + ended.stderr[-1000:])


if __name__ == "__main__":
    sys.exit(
        run_cases(
            [
                a_true_course_breaks_nothing,
                catches_an_answer_that_no_member_gave,
                catches_a_statement_nobody_sent,
                catches_a_changed_statement,
                catches_another_shape_of_a_prepared_name,
                catches_values_of_another_session,
                catches_a_statement_in_another_transaction,
                catches_a_statement_outside_its_transaction,
                catches_a_read_without_an_acknowledged_commit,
                allows_a_read_as_old_as_its_route_allows,
                catches_a_read_without_the_sessions_own_commit,
                catches_a_write_that_takes_effect_twice,
                catches_a_refusal_of_what_was_committed,
                catches_a_commit_after_its_refusal,
                catches_an_acknowledgement_of_nothing,
                catches_a_leader_without_an_acknowledged_write,
                catches_an_acknowledged_write_missing_at_the_end,
                catches_a_falling_fencing_token,
                catches_two_holders_of_one_fencing_token,
                a_short_run_with_faults_breaks_nothing,
            ]
        )
    )
