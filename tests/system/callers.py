"""A caller with a session, as a client library would implement it."""

import http.client
import time

from processes import Connection


class Answer:
    """An answer to a caller; `ran` is "unknown" when no answer arrived."""

    def __init__(self, status, body, headers):
        self.status = status
        self.body = body if isinstance(body, dict) else {}
        self.headers = headers
        self.ran = self.body.get("ran", "unknown")
        self.error = self.body.get("error")
        self.rows = self.body.get("rows", [])
        self.mark = self.body.get("mark")
        self.transaction = self.body.get("transaction")

    @property
    def ok(self):
        return self.status == 200

    @property
    def value(self):
        """The value of the first row; None when there are no rows."""
        return self.rows[0]["value"] if self.rows else None

    def __repr__(self):
        return f"Answer({self.status}, {self.body})"


class Caller:
    """One session of a service; it can continue through any proxy.

    `client_ms` is the emulated one-way delay between the caller and its proxy.
    """

    def __init__(self, cluster, proxy=0, client_ms=0.0, timeout=60):
        self.cluster = cluster
        self.service = cluster.deployment.service
        self.client_seconds = client_ms / 1000
        self.timeout = timeout
        self.session = ""
        self.connection = None
        self.switch_proxy(proxy)

    def switch_proxy(self, proxy):
        """Connects to another proxy, given by its number, and keeps the session."""
        self.close()
        self.proxy = proxy % len(self.cluster.proxies)
        self.connection = Connection(self.cluster.proxies[self.proxy].callers, "caller/", self.timeout)

    def close(self):
        if self.connection is not None:
            self.connection.close()

    def read(self, operation, key, arguments=None, **more):
        return self.statement("read", operation, key, arguments, **more)

    def write(self, operation, key, arguments=None, **more):
        return self.statement("write", operation, key, arguments, **more)

    def statement(self, access, operation, key, arguments=None, **more):
        body = {"access": access, "operation": operation, "key": key, "arguments": arguments or {}, **more}
        return self._post("statements", body)

    def begin(self, key, **more):
        return self._post("transactions", {"key": key, **more})

    def commit(self, transaction, request_id, **more):
        return self._post(f"transactions/{transaction}/commit", {"requestId": request_id, **more})

    def rollback(self, transaction, **more):
        return self._post(f"transactions/{transaction}/rollback", more)

    def outcome(self, request_id, key):
        return self._send("GET", f"requests/{request_id}?key={key}", None, {"x-session": self.session} if self.session else {})

    def _post(self, path, body):
        if self.session:
            body["session"] = self.session
        return self._send("POST", path, body, {})

    def _send(self, method, path, body, headers):
        """Sends one request. A refused connection gives an answer with `ran` "no", a broken one an answer with `ran` "unknown"."""
        time.sleep(self.client_seconds)
        try:
            status, answer, fields = self.connection.send_request(method, f"/v1/services/{self.service}/{path}", body, headers)
        except ConnectionRefusedError:
            self.connection.close()
            return Answer(0, {"ran": "no", "error": "caller-not-connected"}, {})
        except (OSError, http.client.HTTPException):
            self.connection.close()
            return Answer(0, {}, {})
        time.sleep(self.client_seconds)
        answer = Answer(status, answer, fields)
        self.session = answer.body.get("session") or self.session
        return answer
