"""The store comes back from a copy, and the holder reports other counts for a window that it has reported."""
import json
import os
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
import desk  # noqa: E402
import fleet  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRILLS, COPY_AGE_S, AWAY_S, PAUSE_S = 6, 6.0, 1.0, 7.5  # "away for a moment", "a copy some seconds old"
DUTY_BOUNDS = {"requireFence": False, "leaseMs": 3000, "thawSlackMs": 300, "usageWindowS": 5, "usageOff": 0.05,
               "usageLateS": 10}


class DutyPlatform:
    """The platform's interface for the duty of usage reports: takes every call, and keeps it."""

    def __init__(self, record):
        self.calls, calls = [], []
        self.calls = calls

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def handle(self):
                try:
                    super().handle()
                except OSError:  # The caller has closed the connection.
                    pass

            def do_POST(self):
                body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
                holder, fence = self.headers["Duty-Holder"], int(self.headers["Fencing-Token"])
                calls.append((self.path, holder, fence, body))
                record("platform", f"{self.path} from {holder}, fence {fence}: {json.dumps(body)}")
                self.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")

        class Server(ThreadingHTTPServer):
            daemon_threads = True

        self.server = Server(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()


def drill(store, record):
    """The store is away for a moment and comes back from a copy; then operator and workers write again."""
    copy = store.copy()
    record("store", f"a copy is made at revision {copy[0]}")
    time.sleep(COPY_AGE_S)
    if not TROUBLE:
        time.sleep(AWAY_S)
        return
    record("store", f"away at revision {store.revision}")
    store.is_away = True
    time.sleep(AWAY_S)
    store.come_back_from(copy)
    store.is_away = False
    record("store", f"back from the copy at revision {store.revision}, era {store.era}")
    time.sleep(0.3)
    for key, item in sorted(copy[1].items()):
        if key.startswith(("op/", "servers/")):
            store.put(key, item["value"])


def main(folder):
    record = fleet.Record(HERE / "record.txt")
    store, platform = fleet.Store(), DutyPlatform(record)
    zones = list(fleet.ZONES)
    workers = [desk.Worker(store, record, f"i-{index}a91c2", zone, f"127.0.{index + 1}.2")
               for index, zone in enumerate(zones)]
    store.put_json("op/config", desk.CONFIG)
    bounds = {**fleet.BOUNDS, **DUTY_BOUNDS}
    cloud = {"address": platform.address, "duties": ["usage_report"]}
    gateways = fleet.gateways(store, folder, bounds=bounds, cloudApi=cloud)
    try:
        for gateway in gateways:
            gateway.start()
        if not all(gateway.wait_ready() for gateway in gateways):
            record("platform", "a gateway isn't ready")
            return 2
        until = time.monotonic() + 12 + DRILLS * (COPY_AGE_S + AWAY_S + PAUSE_S)
        clients = [desk.Client(f"client-{zone}-{index}", gateway.front, 19.5 / 30, record, until, 100 * at + index)
                   for at, (zone, gateway) in enumerate(zip(zones, gateways)) for index in range(10)]
        for client in clients:
            client.start()
        time.sleep(12)
        for _ in range(DRILLS):
            drill(store, record)
            time.sleep(PAUSE_S)
        for client in clients:
            client.join(max(0, until + 3 - time.monotonic()))
    finally:
        for gateway in gateways:
            gateway.stop()
    return judge(record, platform, workers)


def judge(record, platform, workers):
    taken, broken = {}, 0
    for path, holder, fence, body in platform.calls:
        window, counts = body["windowIndex"], body["counts"]
        first = taken.setdefault(window, counts)
        if counts != first:
            broken += 1
            record("judge", f"ONE: window {window} was reported with {first}, then by {holder}, fence {fence}, "
                   f"with {counts}")
    ran = sum(len(worker.runs) for worker in workers)
    record("judge", f"{len(platform.calls)} reports of {len(taken)} windows; {ran} requests ran")
    if len(taken) < 8:
        record("judge", "under 8 windows were reported: the case couldn't run")
        return 2
    return 1 if broken else 0


fleet.play(main)
