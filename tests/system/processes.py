"""Processes of a test and HTTP requests to them."""

import http.client
import json
import os
import signal
import subprocess
import time

GIVE_UP_SECONDS = 60


class Process:
    """One child process, stopped by its process id only."""

    def __init__(self, arguments, log_file):
        self.arguments = [str(argument) for argument in arguments]
        self.log_file = log_file
        self.child = None

    def start(self):
        with open(self.log_file, "ab") as log:
            self.child = subprocess.Popen(self.arguments, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        return self

    def is_running(self):
        return self.child is not None and self.child.poll() is None

    def signal(self, number):
        if self.is_running():
            os.kill(self.child.pid, number)

    def pause(self):
        self.signal(signal.SIGSTOP)

    def resume(self):
        self.signal(signal.SIGCONT)

    def kill(self):
        """Ends the process without warning."""
        self.signal(signal.SIGKILL)
        return self.wait()

    def terminate(self, patience=GIVE_UP_SECONDS):
        """Asks the process to stop and returns its exit code; kills it when it takes too long."""
        self.signal(signal.SIGTERM)
        return self.wait(patience)

    def wait(self, patience=GIVE_UP_SECONDS):
        if self.child is None:
            return None
        try:
            return self.child.wait(patience)
        except subprocess.TimeoutExpired:
            self.child.kill()
            self.child.wait()
            return None

    def log(self):
        with open(self.log_file, errors="replace") as log:
            return log.read()


class Connection:
    """One kept HTTP connection with JSON bodies."""

    def __init__(self, address, sender="test/", timeout=GIVE_UP_SECONDS):
        self.connection = http.client.HTTPConnection(address, timeout=timeout)
        self.sender = sender

    def ask(self, method, path, body=None, headers=None):
        """Returns (status, JSON body, headers in lower case)."""
        fields = {"x-from": self.sender, "content-type": "application/json", **(headers or {})}
        text = body if body is None or isinstance(body, (str, bytes)) else json.dumps(body)
        self.connection.request(method, path, body=text, headers=fields)
        response = self.connection.getresponse()
        content = response.read()
        return response.status, parse_json(content), {name.lower(): value for name, value in response.getheaders()}

    def close(self):
        self.connection.close()


def parse_json(content):
    """The JSON in `content`; the text itself when it is none, and None when it is empty."""
    try:
        return json.loads(content) if content else None
    except ValueError:
        return content.decode(errors="replace")


def ask(address, method, path, body=None, headers=None, sender="test/", timeout=GIVE_UP_SECONDS):
    """One request on a connection of its own; returns (status, JSON body)."""
    connection = Connection(address, sender, timeout)
    try:
        status, answer, _ = connection.ask(method, path, body, headers)
        return status, answer
    finally:
        connection.close()


def wait_until(condition, what, patience=GIVE_UP_SECONDS):
    """Returns the first true value of `condition()`; errors of the network count as not yet."""
    end = time.monotonic() + patience
    last = None
    while time.monotonic() < end:
        try:
            value = condition()
            if value:
                return value
        except (OSError, http.client.HTTPException) as fault:
            last = fault
        time.sleep(0.02)
    raise AssertionError(f"gave up waiting: {what} ({last})" if last else f"gave up waiting: {what}")


def wait_until_serving(address, path, patience=GIVE_UP_SECONDS):
    """Waits until `path` at `address` answers with status 200."""
    wait_until(lambda: ask(address, "GET", path, timeout=2)[0] == 200, f"{address}{path}", patience)
