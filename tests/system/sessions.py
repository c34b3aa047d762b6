"""Scripted sessions of a caller and of an operator, rendered as text that is the same in every run."""

import json
import os
import re
import subprocess

from callers import Caller
from cluster import OPERATOR_TOKEN
from processes import send_request

# Patterns of values that differ between runs, and their placeholders.
PLACEHOLDERS = [
    (r"c1![^\"\s]+![0-9a-f]{8}", "SESSION"),
    (r"t1\.proxy-\d+\.[0-9a-f]+", "TRANSACTION"),
    (r"proxy-\d+-[0-9a-f]{16}-\d+", "REQUEST"),
    (r"\d+\.[0-9a-f]{1,16}/\d+", "MARK"),
    (r"\d{4}-\d\d-\d\dT[0-9:.]+Z", "TIME"),
    (r"127\.0\.0\.1:\d+", "ADDRESS"),
    (r"\b(ledger-\d)-[abc]\b", r"\1-MEMBER"),
    (r"(version|Version|revision)(\"?:? ?)\d+", r"\1\2VERSION"),
    (r"\"fromReplica\": (true|false)", '"fromReplica": EITHER'),
    (r"\"atMs\": \d+", '"atMs": TIME'),
    (r"\"retryAfterMs\": \d+", '"retryAfterMs": TIME'),
]


def normalize(text):
    """Returns `text` with the values that differ between runs replaced by their placeholders."""
    for pattern, name in PLACEHOLDERS:
        text = re.sub(pattern, name, text)
    return text


class Transcript:
    """Collects the steps of a session."""

    def __init__(self):
        self.lines = []

    def add_step(self, title, *parts):
        self.lines.append(f"== {title}")
        self.lines.extend(normalize(part) for part in parts if part)

    def text(self):
        return "\n".join(self.lines) + "\n"


def caller_session(cluster):
    """Runs a caller's writes, reads through another proxy, repeated requests, outcome queries, transactions and each kind of error."""
    transcript = Transcript()
    caller = Caller(cluster, 0)
    key = "ledger-1/golden"

    def step(title, answer):
        transcript.add_step(title, f"status {answer.status}", json.dumps(answer.body, sort_keys=True))
        return answer

    step("write", caller.write("append", key, {"item": "trade 1"}, requestId="trade-1"))
    caller.switch_proxy(1)
    step("read through another proxy", caller.read("get", key))
    step("the same request again", caller.write("append", key, {"item": "trade 1"}, requestId="trade-1"))
    step("its id with another body", caller.write("append", key, {"item": "trade 2"}, requestId="trade-1"))
    step("outcome of a request that ran", caller.outcome("trade-1", key))
    step("outcome of a request that was never sent", caller.outcome("trade-9", key))
    step("that request, sent after the query", caller.write("append", key, {"item": "trade 9"}, requestId="trade-9"))
    begun = step("begin", caller.begin(key))
    step("write in the transaction", caller.write("append", key, {"item": "trade 3"}, transaction=begun.transaction))
    step("another group's key in it", caller.write("append", "ledger-2/x", {"item": 1}, transaction=begun.transaction))
    step("commit", caller.commit(begun.transaction, "commit-1"))
    step("commit of an ended transaction", caller.commit(begun.transaction, "commit-2"))
    step("read everything", caller.read("get", key))
    step("a statement that the endpoint refuses", caller.write("fly", key))
    step("an accepted age on a write", caller.write("append", key, {"item": 1}, acceptedAgeMs=5))
    step("an unknown field", caller.read("get", key, colour="red"))
    step("a window of zero", caller.read("get", key, windowMs=0))
    caller.session = "c1!ledger-1=1.1/1!00000000"
    step("a damaged session token", caller.read("get", key))
    caller.session = ""
    caller.service = "unheard"
    step("an unknown service", caller.read("get", key))
    for title, method, path, body in [
        ("a body that is not JSON", "POST", "/v1/services/ledger/statements", "{"),
        ("another interface version", "POST", "/v9/services/ledger/statements", {}),
        ("no such path", "GET", "/v1/elsewhere", None),
    ]:
        status, answer = send_request(cluster.proxies[0].callers, method, path, body)
        transcript.add_step(title, f"status {status}", json.dumps(answer, sort_keys=True))
    caller.close()
    return transcript.text()


def operator_session(cluster, folder):
    """Runs an operator's commands: applies, reads, compares and deletes records, and causes each kind of error."""
    transcript = Transcript()
    program = os.path.join(cluster.build, "cardamomstep")
    environment = {**os.environ, "CARDAMOMSTEP_ADDRESS": cluster.proxies[0].operators, "CARDAMOMSTEP_TOKEN": OPERATOR_TOKEN}

    def run_command(*arguments, stdin="", **more):
        done = subprocess.run(
            [program, *arguments], input=stdin, capture_output=True, text=True, timeout=60, env={**environment, **more}
        )
        shown = " ".join(arguments).replace(folder + os.sep, "")
        output = [part.replace(folder + os.sep, "") for part in (done.stdout.rstrip(), done.stderr.rstrip())]
        transcript.add_step(f"cardamomstep {shown}", output[0], output[1], f"exit {done.returncode}")

    def record(name, content):
        path = os.path.join(folder, name)
        with open(path, "w") as file:
            file.write(content if isinstance(content, str) else json.dumps(content, indent=2))
        return path

    spec = {"service": "archive", "groups": ["ledger-1", "ledger-2"]}
    intent = record("intent.json", {"kind": "RoutingIntent", "name": "archive", "schema": "v1", "spec": spec, "team": "north"})
    run_command("apply", "-f", intent, "--dry-run")
    run_command("apply", "-f", intent)
    run_command("apply", "-f", intent)
    run_command("get", "RoutingIntent", "archive", "-o", "json")
    newer = {"service": "archive", "keys": {"groups": spec["groups"]}, "share": {"guaranteedPercent": 20}}
    changed = record("changed.json", {"kind": "RoutingIntent", "name": "archive", "schema": "v2", "spec": newer})
    run_command("diff", "-f", changed)
    run_command("apply", "-f", changed, "--expect", "1")
    run_command("apply", "-f", record("bad.json", '{"kind": "RoutingIntent", "name": "b c", "schema": "v1",\n "spec": {"groups": []}}'))
    run_command("get", "RoutingIntent", "unheard")
    run_command("get", "Colour")
    run_command("delete", "DatabaseGroup", "ledger-1")
    run_command("delete", "RoutingIntent", "archive")
    run_command("aply", "-f", intent)
    run_command("apply", "--fil", intent)
    run_command("get", "RoutingIntent", CARDAMOMSTEP_TOKEN="wrong-token-wrong-token")
    run_command("get", "RoutingIntent", CARDAMOMSTEP_ADDRESS="127.0.0.1:1")
    run_command("check-settings", record("settings.json", '{"instance": "p", "callers": {"listen": "nowhere"},\n "limits": {"threads": 0}}'))
    return transcript.text()
