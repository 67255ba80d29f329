"""A spoiled answer has two lengths; the client gets a cut body as whole, and its rest as another answer."""
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
import desk  # noqa: E402
import fleet  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SPELLS, SPELL_S, PAUSE_S = 8, 5.0, 2.0  # `garble`: for_s = 5.0
SHARE_OF_ANSWERS = 0.03  # x = 0.03


class FaultyWorker(desk.Worker):
    """In a spell, spoils the heads of some answers: chunked, with a length that isn't the body's."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.is_in_spell, self.answered, self.spoiled = False, 0, 0

    def answer(self, attempt):
        if not (self.is_in_spell and self.is_next_spoiled()):
            return super().answer(attempt)
        body = self.body_of(attempt)
        self.record(self.name, f"spoils its answer to {attempt}: {len(body)} bytes in a chunk, Content-Length 300")
        return (f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: s.{self.name}.{attempt}\r\n"
                f"Instance-Load: {self.load()}\r\nKeep-Alive: timeout=5\r\nContent-Length: 300\r\n"
                f"Transfer-Encoding: chunked\r\n\r\n{len(body):x}\r\n").encode() + body + b"\r\n0\r\n\r\n"

    def is_next_spoiled(self):
        with self.lock:
            self.answered += 1
            if self.spoiled + 1 > SHARE_OF_ANSWERS * self.answered:
                return False
            self.spoiled += 1
            return True


def main(folder):
    record = fleet.Record(HERE / "record.txt")
    store = fleet.Store()
    zones = list(fleet.ZONES)
    workers = [
        (FaultyWorker if index == 0 else desk.Worker)(store, record, f"i-{index}a91c2", zone, f"127.0.{index + 1}.2")
        for index, zone in enumerate(zones)]
    store.put_json("op/config", desk.CONFIG)
    gateways = fleet.gateways(store, folder)
    try:
        for gateway in gateways:
            gateway.start()
        if not all(gateway.wait_ready() for gateway in gateways):
            record("platform", "a gateway isn't ready")
            return 2
        until = time.monotonic() + 2 + SPELLS * (SPELL_S + PAUSE_S)
        clients = [desk.Client(f"client-{zone}-{index}", gateway.front, 19.5 / 30, record, until, 100 * at + index)
                   for at, (zone, gateway) in enumerate(zip(zones, gateways)) for index in range(10)]
        for client in clients:
            client.start()
        time.sleep(2)
        for _ in range(SPELLS):
            workers[0].is_in_spell = TROUBLE
            time.sleep(SPELL_S)
            workers[0].is_in_spell = False
            time.sleep(PAUSE_S)
        for client in clients:
            client.join(3)
    finally:
        for gateway in gateways:
            gateway.stop()
    return judge(record, workers, clients)


def judge(record, workers, clients):
    by_name = {worker.name: worker for worker in workers}
    attempts = [attempt for client in clients for attempt in client.attempts]
    successes = [attempt for attempt in attempts if attempt.status and 200 <= attempt.status < 300]
    mixed = []
    for attempt in successes:
        _, name, run = (attempt.signature or "..").split(".")
        if name not in by_name or run != attempt.id or attempt.body != by_name[name].body_of(attempt.id):
            mixed.append((attempt, "a success without the worker's signature or whole body"))
    surplus = [text for client in clients for text in client.surplus]
    record("judge", f"{len(attempts)} attempts, {len(successes)} with a success; "
           f"{workers[0].spoiled} spoiled of {workers[0].answered} answers in spells")
    for attempt, text in mixed:
        record("judge", f"MIXED: {attempt.id}: {text}: {len(attempt.body or b'')} bytes as a whole body")
    for text in surplus:
        record("judge", f"MIXED: {text}")
    if len(successes) < 0.9 * len(attempts):
        record("judge", "under nine tenths were served: the case couldn't run")
        return 2
    return 1 if mixed or surplus else 0


fleet.play(main)
