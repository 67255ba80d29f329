"""Stand-ins for the platform: its store, its settings, and the gateways that it starts.

Only Python's standard library. Everything listens on loopback addresses and free ports.
"""
import base64
import ctypes
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]

# The bounds and limits of the site ravaton-lessons (SYSTEM.md and `fleetbench wire`).
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
    "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
    "rollbackSlackMs": 250, "maxSkewMs": 5000, "strictRevoke": True, "revokeMs": 5000,
    "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 52, "recoverS": 12,
    "passMs": 120, "againS": 5.6,
}
LIMITS = {"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
ZONES = {"port-louis": "mu-central", "curepipe": "mu-central", "rose-hill": "mu-central"}


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def __call__(self, who, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:9.4f} {who:<14} {text}\n")
            self.file.flush()


def free_ports(ip, count):
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((ip, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Store:
    """The platform's metadata store, as PROTOCOL.md describes it."""

    def __init__(self, ip="127.0.0.1"):
        self.items, self.history, self.leases = {}, [], {}
        self.revision, self.next_lease = 1, 1
        self.era, self.known_from, self.is_away = 0, 0, False
        self.changed = threading.Condition()
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def answer(self, status, body=None):
                data = json.dumps(body).encode()
                head = (f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nStore-Era: {store.era}\r\n"
                        f"Content-Length: {len(data)}\r\n\r\n").encode()
                try:
                    self.wfile.write(head + data)
                except OSError:  # The caller has given up.
                    self.close_connection = True

            def handle(self):
                try:
                    super().handle()
                except OSError:  # The caller has closed the connection.
                    pass

            def call(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = json.loads(self.rfile.read(length)) if length else {}
                url = urlsplit(self.path)
                query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
                era = store.era
                answer = None if store.is_away else store.call(self.command, url.path, query, body)
                if answer is None or store.is_away or era != store.era:
                    self.close_connection = True  # The store is away, or was: the call gets no answer.
                else:
                    self.answer(*answer)

            do_GET = do_POST = do_DELETE = call

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 256

        self.server = Server((ip, 0), Handler)
        self.address = f"{ip}:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self.expire, daemon=True).start()

    def put(self, key, value, lease=0, is_new_change=True):
        with self.changed:
            self.revision += is_new_change
            made = self.items[key]["made"] if key in self.items else self.revision
            item = {"key": key, "value": value, "revision": self.revision, "made": made, "lease": lease}
            self.items[key] = item
            self.history.append(item)
            self.changed.notify_all()

    def put_json(self, key, value):
        self.put(key, base64.b64encode(json.dumps(value).encode()).decode())

    def remove(self, key, is_new_change=True):
        with self.changed:
            if self.items.pop(key, None) is not None:
                self.revision += is_new_change
                self.history.append({"key": key, "revision": self.revision, "gone": True})
                self.changed.notify_all()

    def expire(self):
        while True:
            time.sleep(0.05)
            with self.changed:
                for lease in [k for k, (until, _) in self.leases.items() if until < time.monotonic()]:
                    self.end_lease(lease)

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)
        return True

    def copy(self):
        """Makes a copy from which the store can come back."""
        with self.changed:
            return self.revision, {key: dict(item) for key, item in self.items.items()}

    def come_back_from(self, copy):
        """Takes the place of the store with a copy of it: what was written since is gone, leases too."""
        with self.changed:
            self.revision, self.items = copy[0], {k: i for k, i in copy[1].items() if not i["lease"]}
            self.leases, self.history = {}, []
            self.known_from, self.era = self.revision, self.era + 1
            self.changed.notify_all()

    def call(self, method, path, query, body):
        with self.changed:
            if path == "/kv-key":
                item = self.items.get(query["key"])
                return (200, {**item, "at": self.revision}) if item else (404, {})
            if path == "/kv-range":
                keys = sorted(k for k in self.items if k.startswith(query.get("pathPrefix", "")))
                keys = [k for k in keys if k > query.get("sinceRev", "")]
                return 200, {"items": [self.items[k] for k in keys[:500]], "more": len(keys) > 500,
                             "at": self.revision}
            if path == "/kv-watch":
                since, prefix = int(query["sinceRev"]), query.get("pathPrefix", "")
                end = time.monotonic() + int(query.get("waitMs", 0)) / 1000

                if not self.known_from <= since <= self.revision:
                    return 410, {}

                def newer():
                    return [e for e in self.history if e["revision"] > since and e["key"].startswith(prefix)]

                while not newer() and time.monotonic() < end:
                    self.changed.wait(end - time.monotonic())
                return 200, {"events": newer(), "at": self.revision}
            if path == "/kv-txn":
                expected = body.get("expectRev", [])
                now = {row["key"]: self.items.get(row["key"]) for row in expected}
                if any((now[r["key"]] or {"revision": 0})["revision"] != r["revision"] for r in expected):
                    return 412, {"items": [item for item in now.values() if item]}
                if any(p.get("lease", 0) and p["lease"] not in self.leases for p in body.get("put", [])):
                    return 404, {}
                self.revision += 1  # One change, whatever its entries.
                for each in body.get("put", []):
                    self.put(each["key"], each["value"], each.get("lease", 0), is_new_change=False)
                for key in body.get("remove", []):
                    self.remove(key, is_new_change=False)
                return 200, {"revision": self.revision}
            if path == "/kv-lease":
                self.next_lease += 1
                self.leases[self.next_lease] = (time.monotonic() + body["ttl_ms"] / 1000, body["ttl_ms"])
                return 200, {"lease": self.next_lease, "ttl_ms": body["ttl_ms"]}
            lease = int(path.rsplit("/", 1)[1])
            if path.startswith("/kv-keep/"):
                if lease not in self.leases:
                    return 404, {}
                ttl_ms = self.leases[lease][1]
                self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
                return 200, {"ttl_ms": ttl_ms}
            return (200, {}) if self.end_lease(lease) else (404, {})


def fill(text, fields):
    """Fills the gaps of the deploy file, as far as its text uses them (DEPLOY.md)."""

    def value(name, scope):
        for part in name.split("."):
            scope = scope.get(part) if isinstance(scope, dict) else None
        if scope is None:
            return ""
        if isinstance(scope, bool):
            return "true" if scope else "false"
        if isinstance(scope, list):
            return ",".join(str(each) for each in scope)
        return str(scope)

    def section(match):
        entries = list(fields.get(match[1], {}).items())
        parts = []
        for index, (key, entry) in enumerate(entries):
            part = match[2].replace("{{@}}", str(key)).replace("{{.}}", str(entry))
            parts.append(part.replace("{{,}}", "," if index + 1 < len(entries) else ""))
        return "".join(parts)

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, text)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: value(match[1], fields), text)


LIBC = ctypes.CDLL(None)
PR_SET_PDEATHSIG = 1


def end_with_parent():
    """Lets the system kill a gateway whose script is gone, even if the script was killed itself."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Gateway:
    """A gateway process, started with the command of the deploy file."""

    def __init__(self, fields, folder):
        self.fields, self.folder, self.process = fields, Path(folder), None
        self.front, self.ready = fields["listen"]["front"], fields["listen"]["ready"]
        self.name = fields["nodeName"]

    def start(self):
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["gateway"]
        words = [fill(word, self.fields) for word in role["run"].split()]
        passed = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        variables = {name: fill(text, self.fields) for name, text in role["env"].items()}
        boot = self.folder / f"{self.name}.toml"
        boot.write_text(f'nodeName = "{self.name}"\n')
        self.log = open(self.folder / f"{self.name}.log", "a")
        self.process = subprocess.Popen(
            words, cwd=ROOT, env={**passed, **variables, "BRIDGEVANE_BOOT": str(boot)},
            stdout=self.log, stderr=self.log, stdin=subprocess.DEVNULL, preexec_fn=end_with_parent)

    def is_ready(self):
        try:
            host, port = self.ready.split(":")
            with socket.create_connection((host, int(port)), 1) as link:
                link.settimeout(1)
                link.sendall(b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                return link.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def wait_ready(self, limit_s=15):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if self.is_ready():
                return True
            time.sleep(0.1)
        return False

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def stop(self):
        self.signal(signal.SIGKILL)
        if self.process:
            self.process.wait()


def gateways(store, folder, count=3, **extra):
    """Returns gateways of a small deployment, one after the other in its zones; not started."""
    machines = []
    for index in range(count):
        ip = f"127.0.{index + 1}.1"
        front, ready, control = free_ports(ip, 3)
        machines.append((ip, list(ZONES)[index % len(ZONES)], front, ready, control))
    seeds = [f"{ip}:{control}" for ip, _, _, _, control in machines[:3]]
    built = []
    for index, (ip, zone, front, ready, control) in enumerate(machines):
        fields = {
            "nodeName": f"edge-{zone}-{index + 1}", "role": "gateway", "machineClass": "edge",
            "serves": ["edge", "control"], "ip": ip, "zone": zone, "region": "mu-central",
            "seeds": seeds, "zones": ZONES,
            "listen": {"front": f"{ip}:{front}", "ready": f"{ip}:{ready}", "control": f"{ip}:{control}"},
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 110, "maxFds": 4100},
            "bounds": BOUNDS, "provider": {"address": store.address, "form": "kv"}, **extra,
        }
        built.append(Gateway(fields, folder))
    return built


def play(case):
    """Runs a case in a temporary folder; exits with its result, or with 2 if it couldn't run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    folder = tempfile.mkdtemp()
    result = 2
    try:
        result = case(folder)
    except Exception:  # A stand-in or a gateway failed, so nothing was shown.
        traceback.print_exc()
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    sys.exit(result)
