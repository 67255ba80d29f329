"""No case: see REPORT.md. A client with a small window that doesn't read for some seconds loses its stream."""
import os
import socket
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
import desk  # noqa: E402
import fleet  # noqa: E402
from http_io import Closed, Wire  # noqa: E402

PAUSE_S = 3.0 if os.environ.get("TROUBLE", "1") != "0" else 0.0
WINDOW_BYTES, EVENTS, EVENT_BYTES, STEP_S = 2048, 159, 360, 0.02  # the largest practice-plan of ravaton-lessons
HOST, PREFIX = "tutor.example", "/plan/"
ROUTE = {"name": "practice-plan", "host": HOST, "pathPrefix": PREFIX, "kind": "streaming", "timeoutMs": 12000,
         "sloMs": 300, "priority": 0, "service": desk.SERVICE, "maxAttempts": 1, "public": False, "affinity": True,
         "resumable": False, "gapTargetMs": 250}


class StreamWorker(desk.Worker):
    def handle(self, wire, start, fields, body):
        refusal = self.refuse(fields)
        if refusal:
            wire.send(refusal)
            return True
        try:
            self.begin(start, fields, body)
            attempt = fields["attempt-id"]
            wire.send((f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: s.{self.name}.{attempt}\r\n"
                       "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
            for number in range(1, EVENTS + 1):
                event = f"id: {number}\ndata: {'x' * EVENT_BYTES}\n\n".encode()
                wire.send(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                time.sleep(STEP_S)
            wire.send(b"0\r\n\r\n")
            return True
        finally:
            with self.lock:
                self.running -= 1


def take_stream(gateway):
    """Returns the stream that a slow reader gets, or None if it was cut."""
    host, port = gateway.front.split(":")
    link = socket.socket()
    link.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    link.settimeout(14)
    link.connect((host, int(port)))
    wire = Wire(link)
    wire.send((f"POST {PREFIX}2f HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {os.urandom(8).hex()}\r\nModel: m\r\n"
               "Token-Usage: 715,300\r\nPrompt-Prefix: 5c1e07a2:172,91bd3f06:543\r\nDeadline-Ms: 12000\r\n"
               f"Authorization: Token {desk.KEY}\r\nContent-Length: 4\r\n\r\nplan").encode())
    _, headers = wire.head()
    time.sleep(PAUSE_S)
    try:
        return wire.body(headers)
    except Closed:
        return None
    finally:
        wire.close()


def main(folder):
    record = fleet.Record(Path(folder) / "record.txt")
    store = fleet.Store()
    for index, zone in enumerate(fleet.ZONES):
        StreamWorker(store, record, f"i-{index}a91c2", zone, f"127.0.{index + 1}.2", 64)
    store.put_json("op/config", {**desk.CONFIG, "routes": [ROUTE]})
    gateway = fleet.gateways(store, folder, 1)[0]
    try:
        gateway.start()
        if not gateway.wait_ready():
            return 2
        streams = [take_stream(gateway) for _ in range(5)]
    finally:
        gateway.stop()
    cut = sum(stream is None for stream in streams)
    print(f"{cut} of {len(streams)} streams were cut")
    return 1 if cut else 0


fleet.play(main)
