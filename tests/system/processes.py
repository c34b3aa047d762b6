"""Child processes of a test, and HTTP requests to them."""

import http.client
import json
import os
import signal
import subprocess
import time

DEFAULT_TIMEOUT_SECONDS = 60


class Process:
    """One child process; signals go to its process id only."""

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
        """Kills the process with SIGKILL and returns its exit code."""
        self.signal(signal.SIGKILL)
        return self.wait()

    def terminate(self, timeout_seconds=DEFAULT_TIMEOUT_SECONDS):
        """Stops the process with SIGTERM and returns its exit code; kills it after the timeout and returns None."""
        self.signal(signal.SIGTERM)
        return self.wait(timeout_seconds)

    def wait(self, timeout_seconds=DEFAULT_TIMEOUT_SECONDS):
        if self.child is None:
            return None
        try:
            return self.child.wait(timeout_seconds)
        except subprocess.TimeoutExpired:
            self.child.kill()
            self.child.wait()
            return None

    def log(self):
        with open(self.log_file, errors="replace") as log:
            return log.read()


class Connection:
    """One persistent HTTP connection with JSON bodies."""

    def __init__(self, address, sender="test/", timeout=DEFAULT_TIMEOUT_SECONDS):
        self.connection = http.client.HTTPConnection(address, timeout=timeout)
        self.sender = sender

    def send_request(self, method, path, body=None, headers=None):
        """Sends one request; returns (status, JSON body, headers with names in lower case)."""
        fields = {"x-from": self.sender, "content-type": "application/json", **(headers or {})}
        text = body if body is None or isinstance(body, (str, bytes)) else json.dumps(body)
        self.connection.request(method, path, body=text, headers=fields)
        response = self.connection.getresponse()
        content = response.read()
        return response.status, parse_json(content), {name.lower(): value for name, value in response.getheaders()}

    def close(self):
        self.connection.close()


def parse_json(content):
    """Returns the JSON value in `content`, the text itself when it is not JSON, and None when it is empty."""
    try:
        return json.loads(content) if content else None
    except ValueError:
        return content.decode(errors="replace")


def send_request(address, method, path, body=None, headers=None, sender="test/", timeout=DEFAULT_TIMEOUT_SECONDS):
    """Sends one request on a new connection; returns (status, JSON body)."""
    connection = Connection(address, sender, timeout)
    try:
        status, answer, _ = connection.send_request(method, path, body, headers)
        return status, answer
    finally:
        connection.close()


def wait_until(condition, what, max_wait_seconds=DEFAULT_TIMEOUT_SECONDS):
    """Returns the first true value of `condition()`; network errors count as false. Fails after `max_wait_seconds` seconds."""
    end = time.monotonic() + max_wait_seconds
    last_error = None
    while time.monotonic() < end:
        try:
            value = condition()
            if value:
                return value
        except (OSError, http.client.HTTPException) as error:
            last_error = error
        time.sleep(0.02)
    raise AssertionError(f"timed out waiting: {what} ({last_error})" if last_error else f"timed out waiting: {what}")


def wait_until_serving(address, path, max_wait_seconds=DEFAULT_TIMEOUT_SECONDS):
    """Waits until `path` at `address` answers with status 200."""
    wait_until(lambda: send_request(address, "GET", path, timeout=2)[0] == 200, f"{address}{path}", max_wait_seconds)
