"""No case: see REPORT.md. Bodies that are still arriving aren't counted: a burst of uploads takes a gateway over its memory."""
import os
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
import desk  # noqa: E402
import fleet  # noqa: E402
from http_io import Closed, connect  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST, SERVICE, PREFIX = "tutor.example", "tutor-model", "/report/"
# term-report of SYSTEM.md: 25 a second on 6 machines in 3 zones; a machine of a zone may get two thirds of its clients.
USUAL_PER_S = 25 / 3 * 2 / 3
BURSTS, BURST_S, PAUSE_S, BURST_X = 4, 9.0, 8.0, 2.4  # `burst`, class term-report: x = 2.4, for_s = 9.0
BODY_BYTES = fleet.LIMITS["bodyBytes"]  # the operator's limit
UPLOAD_S, DEADLINE_S = 3.0, 4.0
PREFILL_S, EVENTS, STEP_S = 0.16, 9, 0.03
MEMORY_BYTES = 110 * 1_000_000  # memoryMb
ROUTE = {"name": "term-report", "host": HOST, "pathPrefix": PREFIX, "kind": "streaming", "timeoutMs": 4000,
         "sloMs": 1200, "priority": 2, "service": SERVICE, "maxAttempts": 1, "public": False, "affinity": True,
         "resumable": False, "gapTargetMs": 1000}
CONFIG = {**desk.CONFIG, "routes": [ROUTE], "services": [
    {"name": SERVICE, "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": False}]}


class ModelWorker(desk.Worker):
    """Runs a stream: its first event after the prompt was read, the others one by one."""

    def __init__(self, store, record, name, zone, ip):
        super().__init__(store, record, name, zone, ip, slots=64)
        store.put_json(f"servers/{name}", {
            "service": SERVICE, "address": self.address, "zone": zone, "version": "v1", "slots": 64,
            "state": "ready", "coldRemainingMs": 0, "sequence": 1})

    def handle(self, wire, start, fields, body):
        refusal = self.refuse(fields)
        if refusal:
            wire.send(refusal)
            return True
        try:
            self.begin(start, fields, b"")
            time.sleep(PREFILL_S)
            attempt = fields["attempt-id"]
            wire.send((f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: s.{self.name}.{attempt}\r\n"
                       "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
            for number in range(1, EVENTS + 1):
                event = f"id: {number}\ndata: {'x' * 60}\n\n".encode()
                wire.send(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                time.sleep(STEP_S)
            wire.send(b"0\r\n\r\n")
            return True
        finally:
            with self.lock:
                self.running -= 1


class Uploads:
    """Clients that keep connections, and send their bodies over UPLOAD_S."""

    def __init__(self, gateway, record):
        self.gateway, self.record = gateway, record
        self.idle, self.lock, self.attempts = [], threading.Lock(), []
        self.block = b"x" * (BODY_BYTES // 64)

    def start(self):
        threading.Thread(target=self.send, daemon=True).start()

    def send(self):
        attempt = desk.Attempt(os.urandom(8).hex(), "report")
        attempt.is_kept, attempt.was_sent, attempt.got_bytes = False, False, False
        self.attempts.append(attempt)
        try:
            with self.lock:
                wire = self.idle.pop() if self.idle else None
            attempt.is_kept = wire is not None
            wire = wire or connect(self.gateway.front, 1.0)
            wire.link.settimeout(DEADLINE_S + 1)
            begin = time.monotonic()
            wire.send((f"POST {PREFIX}2f HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt.id}\r\nModel: m\r\n"
                       "Token-Usage: 9190,54\r\nPrompt-Prefix: 5c1e07a2:2520,91bd3f06:3780,"
                       f"{attempt.id[:8]}:2890\r\nDeadline-Ms: {int(DEADLINE_S * 1000)}\r\n"
                       f"Authorization: Token {desk.KEY}\r\nContent-Length: {64 * len(self.block)}\r\n\r\n").encode())
            for index in range(64):
                wire.send(self.block)
                time.sleep(max(0, begin + UPLOAD_S * (index + 1) / 64 - time.monotonic()))
            attempt.was_sent = True
            start, headers = wire.head()
            attempt.got_bytes, attempt.status = True, int(start.split()[1])
            attempt.body = wire.body(headers)
            if dict(headers).get("connection", "").lower() == "close" or not attempt.was_sent:
                wire.close()
            else:
                with self.lock:
                    self.idle.append(wire)
        except (Closed, OSError, ValueError, IndexError) as error:
            attempt.error = repr(error)
        self.record("client", f"sent {attempt.id} kept={attempt.is_kept} whole={attempt.was_sent} -> {attempt.status} "
                    + getattr(attempt, "error", ""))


class Machine(threading.Thread):
    """The platform's machine: ends a process above its memory, and starts it again."""

    def __init__(self, gateway, record):
        super().__init__(daemon=True)
        self.gateway, self.record, self.ends, self.most, self.is_over = gateway, record, 0, 0, False

    def memory(self):
        try:
            text = Path(f"/proc/{self.gateway.process.pid}/status").read_text()
            return int(text.split("RssAnon:")[1].split()[0]) * 1024
        except (OSError, IndexError):
            return 0

    def run(self):
        while not self.is_over:
            time.sleep(0.02)
            used = self.memory()
            self.most = max(self.most, used)
            if used > MEMORY_BYTES:
                self.ends += 1
                self.record("machine", f"{self.gateway.name} uses {used // 1_000_000} MB of 110: it is killed")
                self.gateway.stop()
                time.sleep(0.5)
                self.gateway.start()


def main(folder):
    record = fleet.Record(Path(folder) / "record.txt")
    store = fleet.Store()
    workers = [ModelWorker(store, record, f"i-{index}a91c2", zone, f"127.0.{index + 1}.2")
               for index, zone in enumerate(fleet.ZONES)]
    store.put_json("op/config", CONFIG)
    gateways = fleet.gateways(store, folder)
    gateway = gateways[0]
    uploads, machine = Uploads(gateway, record), Machine(gateway, record)
    try:
        for each in gateways:
            each.start()
        if not all(each.wait_ready() for each in gateways):
            record("platform", "a gateway isn't ready")
            return 2
        machine.start()
        play(uploads)
        time.sleep(DEADLINE_S + 1.5)
    finally:
        machine.is_over = True
        machine.join(2)
        for each in gateways:
            each.stop()
    return judge(record, workers, uploads, machine)


def play(uploads):
    begin = time.monotonic()
    length_s = BURSTS * (PAUSE_S + BURST_S)
    next_at = begin
    while next_at < begin + length_s:
        time.sleep(max(0, next_at - time.monotonic()))
        uploads.start()
        is_burst = TROUBLE and (next_at - begin) % (PAUSE_S + BURST_S) >= PAUSE_S
        next_at += 1 / (USUAL_PER_S * (BURST_X if is_burst else 1))


def judge(record, workers, uploads, machine):
    ran = {run[0] for worker in workers for run in worker.runs}
    attempts = uploads.attempts
    served = sum(attempt.status == 200 for attempt in attempts)
    refused = sum(attempt.status == 503 for attempt in attempts)
    lost = [a for a in attempts if a.is_kept and a.id in ran and not a.got_bytes]
    print(f"{len(attempts)} attempts, {served} served, {refused} got 503, {len(lost)} lost; at most "
          f"{machine.most // 1_000_000} MB, killed {machine.ends} times")
    record("judge", f"{len(attempts)} attempts, {served} served, {refused} got 503; the process used "
           f"{machine.most // 1_000_000} MB at most and was killed {machine.ends} times")
    for attempt in lost:
        record("judge", f"LOST: {attempt.id}, from a kept connection, ran at a worker; its connection closed unanswered")
    if served < 0.5 * len(attempts) and not machine.ends:
        record("judge", "under half were served, without a kill: the case couldn't run")
        return 2
    return 1 if len(lost) > 3 else 0


fleet.play(main)
