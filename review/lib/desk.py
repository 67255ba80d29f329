"""A plain service (desk-app): its workers and the clients of lesson-booking and attendance-mark."""
import random
import socket
import threading
import time

from fleet import LIMITS
from http_io import Closed, Wire, connect

HOST = "desk.example"
SERVICE = "desk-app"
KEY = "n2ctnfzs989anu6wsjnb"
BOOKING, MARK = "/booking/", "/mark/"
ROUTES = [
    {"name": "lesson-booking", "host": HOST, "pathPrefix": BOOKING, "kind": "non_idempotent",
     "timeoutMs": 600, "sloMs": 100, "priority": 2, "service": SERVICE, "maxAttempts": 1, "public": False},
    {"name": "attendance-mark", "host": HOST, "pathPrefix": MARK, "kind": "idempotent",
     "timeoutMs": 600, "sloMs": 100, "priority": 2, "service": SERVICE, "maxAttempts": 2, "public": False},
]
CONFIG = {
    "version": 7, "routes": ROUTES, "limits": LIMITS,
    "services": [{"name": SERVICE, "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": False}],
    "tenants": [{"name": "hule930", "apiKeys": [KEY], "priority": 1}],
}


class Worker:
    """A sound worker; `handle` may be replaced by a faulty one's."""

    def __init__(self, store, record, name, zone, ip, slots=6, work_s=0.015):
        self.store, self.record, self.name, self.slots, self.work_s = store, record, name, slots, work_s
        self.runs = []  # (Attempt-Id, method, body)
        self.running, self.lock = 0, threading.Lock()
        self.listener = socket.create_server((ip, 0), backlog=128)
        self.address = f"{ip}:{self.listener.getsockname()[1]}"
        self.zone = zone
        threading.Thread(target=self.accept, daemon=True).start()
        store.put_json(f"servers/{name}", {
            "service": SERVICE, "address": self.address, "zone": zone, "version": "v1", "slots": slots,
            "state": "ready", "coldRemainingMs": 0, "sequence": 1})

    def accept(self):
        while True:
            link, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(Wire(link),), daemon=True).start()

    def serve(self, wire):
        wire.memory = {}
        try:
            while True:
                start, headers = wire.head()
                fields = dict(headers)
                body = wire.body(headers, "content-length" in fields or "transfer-encoding" in fields)
                if not self.handle(wire, start, fields, body):
                    break
        except (Closed, ValueError):
            pass
        finally:
            wire.close()

    def handle(self, wire, start, fields, body):
        """Runs a request and answers it; returns whether the connection stays open."""
        refusal = self.refuse(fields)
        if refusal:
            wire.send(refusal)
            return True
        try:
            self.begin(start, fields, body)
            time.sleep(self.work_s)
        finally:
            with self.lock:
                self.running -= 1
        wire.send(self.answer(fields["attempt-id"]))
        return True

    def refuse(self, fields):
        """Returns the refusal of a request that doesn't run, or None after taking a slot."""
        attempt = fields.get("attempt-id", "")
        if fields.get("target-instance", self.name) != self.name:
            return self.refusal("421 Misdirected Request", attempt, f"Instance-Id: {self.name}\r\n")
        if not attempt:
            return self.refusal("400 Bad Request", attempt)
        with self.lock:
            if self.running >= self.slots:
                return self.refusal("503 Service Unavailable", attempt)
            self.running += 1
        return None

    def begin(self, start, fields, body):
        with self.lock:
            self.runs.append((fields["attempt-id"], start.split()[0], start.split()[1], fields, body))
        self.record(self.name, f"runs {fields['attempt-id']} {start}")

    def load(self):
        return f"{self.running},0,{self.slots}"

    def refusal(self, status, attempt, more=""):
        named = f"Attempt-Id: {attempt}\r\n" if attempt else ""
        return (f"HTTP/1.1 {status}\r\nNot-Executed: 1\r\n{named}{more}Instance-Load: {self.load()}\r\n"
                "Content-Length: 0\r\n\r\n").encode()

    def body_of(self, attempt):
        return (f"answer of {self.name} to {attempt} " * 40)[:800].encode()

    def answer(self, attempt):
        body = self.body_of(attempt)
        return (f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: s.{self.name}.{attempt}\r\n"
                f"Instance-Load: {self.load()}\r\nKeep-Alive: timeout=5\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body


class Attempt:
    """A client attempt and what the client saw."""

    def __init__(self, attempt, kind):
        self.id, self.kind, self.status, self.body, self.signature = attempt, kind, None, None, None


class Client(threading.Thread):
    """Sends requests on kept connections at a mean rate, and retries once, as PROTOCOL.md says."""

    def __init__(self, name, front, per_s, record, until, seed, share_bookings=0.67):
        super().__init__(daemon=True)
        self.name_, self.front, self.per_s, self.record, self.until = name, front, per_s, record, until
        self.random, self.share_bookings = random.Random(seed), share_bookings
        self.attempts, self.wire, self.used_at = [], None, 0.0
        self.surplus = []  # bytes that arrived where no answer was due

    def run(self):
        while time.monotonic() < self.until:
            time.sleep(min(self.random.expovariate(self.per_s), 5))
            kind = "booking" if self.random.random() < self.share_bookings else "mark"
            end = time.monotonic() + 0.6
            first = self.attempt(kind, end, fresh=False)
            promised = first.status in (408, 421, 429, 503)
            may_retry = promised or (kind == "mark" and first.status not in (200, 400, 401, 404, 413, 431))
            if may_retry and end - time.monotonic() > 0.15:
                time.sleep(0.1)
                self.attempt(kind, end, fresh=True)

    def attempt(self, kind, end, fresh):
        attempt = Attempt(f"{self.random.getrandbits(64):016x}", kind)
        self.attempts.append(attempt)
        left_ms = max(1, int((end - time.monotonic()) * 1000))
        try:
            if fresh or self.wire is None or time.monotonic() - self.used_at > 10:
                self.drop()
                self.wire = connect(self.front, 1.0)
            self.wire.send(self.request(attempt, left_ms))
            start, headers = self.wire.head()
            fields = dict(headers)
            attempt.status = int(start.split()[1])
            attempt.signature, attempt.answered_id = fields.get("response-signature"), fields.get("attempt-id")
            attempt.body = self.wire.body(headers)
            if self.wire.buffer:
                self.surplus.append(f"{len(self.wire.buffer)} bytes behind the answer to {attempt.id}: "
                                    f"{self.wire.buffer[:60]!r}")
                self.drop()
            self.used_at = time.monotonic()
            if self.wire and fields.get("connection", "").lower() == "close":
                self.drop()
        except (Closed, OSError, ValueError, IndexError) as error:
            attempt.error = repr(error)
            self.drop()
        self.record(self.name_, f"sent {attempt.id} {kind} -> {attempt.status}"
                    + (f" {attempt.error}" if hasattr(attempt, "error") else ""))
        return attempt

    def request(self, attempt, left_ms):
        body = b"x" * 600 if attempt.kind == "booking" else b""
        line = f"POST {BOOKING}2f" if attempt.kind == "booking" else f"GET {MARK}2f"
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        return (f"{line} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt.id}\r\nDeadline-Ms: {left_ms}\r\n"
                f"Authorization: Token {KEY}\r\n{length}\r\n").encode() + body

    def drop(self):
        if self.wire:
            self.wire.close()
        self.wire = None
