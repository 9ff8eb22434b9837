"""Costs per unit of what the system holds and does, each measured at three or more sizes.

``python -m benchmarks.slopes`` prints one table; ``docs/CAPACITY.md`` is worked out from it.
"""

import gc
import os
import platform
import random
import subprocess
import sys
import time
from dataclasses import dataclass, field

import gevent
import msgspec

from fakes.fleet import Fleet, Sizes
from sassafrashook.configuration import Configuration, FleetState, Service, WorkClass
from sassafrashook.messages import (
    ROUTER_MESSAGES,
    PermitGranted,
    PermitOutcome,
    PermitReleased,
    PermitRequested,
    RecordedAnswer,
    SessionAccepted,
    SessionOpened,
    UpstreamAnnouncement,
    UpstreamKind,
)
from sassafrashook.routing import (
    AcquireRequested,
    FleetStateChanged,
    FromController,
    FromRouter,
    PermitClient,
    PermitLedger,
    ReleaseRequested,
    RoutersKnown,
    Send,
    UpstreamSeen,
)
from sassafrashook.state import (
    ApplyConfiguration,
    Claim,
    ClaimBatch,
    CompleteClaim,
    FleetStateMachine,
    encode_command,
)
from sassafrashook.transport import Codec

PAGE_BYTES = 4096
US_PER_S = 1e6
NOW_MS = 1_000_000
DEADLINE_MS = 60_000_000
DECISIONS = 20_000
IDLE_S = 10.0


@dataclass(slots=True)
class Row:
    """One cost, measured at several sizes.

    :param unit: unit of the slope, for one more of what the sizes count.
    """

    name: str
    unit: str
    sizes: list = field(default_factory=list)
    values: list = field(default_factory=list)

    def add(self, size, value):
        """Add one measurement."""
        self.sizes.append(size)
        self.values.append(value)

    def find_slope(self):
        """Return the slope of the least-squares line."""
        mean_x = sum(self.sizes) / len(self.sizes)
        mean_y = sum(self.values) / len(self.values)
        pairs = list(zip(self.sizes, self.values, strict=True))
        spread = sum((x - mean_x) ** 2 for x, _ in pairs)
        return sum((x - mean_x) * (y - mean_y) for x, y in pairs) / spread

    def __str__(self):
        points = "  ".join(f"{x}: {y:.4g}" for x, y in zip(self.sizes, self.values, strict=True))
        return f"{self.name:44} {self.find_slope():12.4g} {self.unit:24} {points}"


def read_resident_bytes(pid="self"):
    """Return the resident memory of a process."""
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * PAGE_BYTES


def read_cpu_s(pid):
    """Return the processor time that a process has used, seconds."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def measure_in_child(function, size):
    """Run one measurement in a fresh process, so that memory is its own.

    :returns: the number that it printed.
    """
    code = f"from benchmarks.slopes import {function}; print({function}({size}))"
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    return float(result.stdout.strip().splitlines()[-1])


def make_fleet_state():
    """Return a configuration with one service."""
    return FleetState(
        revision=1,
        configuration=Configuration(
            classes=[WorkClass(name="default", waiting_ms=500, completion_ms=60_000)],
            services=[Service(name="advice", kind=UpstreamKind.ENGINE)],
        ),
    )


def make_ledger(upstreams, capacity=64):
    """Return a ledger that knows a number of warm engines and one router."""
    ledger = PermitLedger(epoch=1, rng=random.Random(1))
    ledger.handle(FleetStateChanged(make_fleet_state()), 0.0)
    for number in range(upstreams):
        announcement = UpstreamAnnouncement(
            f"engine-{number}", UpstreamKind.ENGINE, "advice", "127.0.0.1", 1, "zone",
            "boot", 1, 1, capacity, capacity, 10_000_000,
        )  # fmt: skip
        ledger.handle(UpstreamSeen(announcement), 0.0)
    ledger.handle(RoutersKnown(()), 0.0)
    ledger.handle(FromRouter("r", SessionOpened("r", "boot", 1, 1)), 0.0)
    return ledger


def make_request(number, account="shop"):
    """Return one request for a permit."""
    key = number * 0x9E3779B97F4A7C15 % 2**64
    return PermitRequested(number, "advice", key, account, "default", 500, 60_000, key)


def take_permits(ledger, first, count, release, account="shop"):
    """Ask for permits and perhaps release them; return how many were granted."""
    granted = 0
    for number in range(first, first + count):
        actions = ledger.handle(FromRouter("r", make_request(number, account)), 0.0)
        granted += any(isinstance(getattr(a, "message", None), PermitGranted) for a in actions)
        if release:
            released = PermitReleased(number, PermitOutcome.FINISHED, 10)
            ledger.handle(FromRouter("r", released), 0.0)
    return granted


def measure_decision_us(upstreams):
    """Processor time of one permit asked for and released."""
    ledger = make_ledger(upstreams)
    take_permits(ledger, 1, 1_000, True)
    begin = time.process_time()
    take_permits(ledger, 2_000, DECISIONS, True)
    return (time.process_time() - begin) / DECISIONS * US_PER_S


def measure_upstream_memory(upstreams):
    """Resident bytes of a ledger with a number of upstreams."""
    gc.collect()
    begin = read_resident_bytes()
    ledger = make_ledger(upstreams)
    gc.collect()
    used = read_resident_bytes() - begin
    assert ledger is not None
    return used


def measure_permit_memory(permits):
    """Resident bytes of running permits."""
    ledger = make_ledger(1_000, capacity=1_000)
    gc.collect()
    begin = read_resident_bytes()
    take_permits(ledger, 1, permits, False)
    gc.collect()
    return read_resident_bytes() - begin


def measure_conversation_memory(conversations):
    """Resident bytes of conversations whose requests are over."""
    ledger = make_ledger(100)
    gc.collect()
    begin = read_resident_bytes()
    take_permits(ledger, 1, conversations, True)
    gc.collect()
    return read_resident_bytes() - begin


def measure_account_memory(accounts):
    """Resident bytes of client accounts that have sent a request."""
    ledger = make_ledger(100)
    gc.collect()
    begin = read_resident_bytes()
    for number in range(accounts):
        take_permits(ledger, number + 1, 1, True, f"account-{number}")
    gc.collect()
    return read_resident_bytes() - begin


def claim(number):
    """Return one claim."""
    return Claim(f"attempt-{number}", "shop", "ledger", f"key-{number}", "0" * 64, DEADLINE_MS)


def fill_claims(count, batch=64):
    """Return a state machine with completed claims, and the processor time for each."""
    machine = FleetStateMachine()
    answer = RecordedAnswer("ran", 201, "application/json", b"x" * 60)
    begin = time.process_time()
    index = 0
    for first in range(0, count, batch):
        numbers = range(first, min(first + batch, count))
        done = [
            CompleteClaim(f"attempt-{n}", "shop", "ledger", f"key-{n}", answer) for n in numbers
        ]
        for items in ([claim(n) for n in numbers], done):
            index += 1
            machine.apply(index, encode_command(ClaimBatch(items), NOW_MS))
    return machine, (time.process_time() - begin) / count * US_PER_S


def measure_claim_us(count):
    """Processor time of one claim and its record, in batches of 64, encoding included."""
    return fill_claims(count)[1]


def measure_claim_memory(count):
    """Resident bytes of claims with their records."""
    gc.collect()
    begin = read_resident_bytes()
    machine, _ = fill_claims(count)
    gc.collect()
    used = read_resident_bytes() - begin
    assert machine is not None
    return used


def measure_change_us(changes):
    """Processor time to apply one configuration change."""
    machine = FleetStateMachine()
    document = msgspec.json.encode(make_fleet_state().configuration)
    begin = time.process_time()
    for revision in range(changes):
        command = ApplyConfiguration(f"c{revision}", revision, document, DEADLINE_MS)
        machine.apply(revision + 1, encode_command(command, NOW_MS))
    return (time.process_time() - begin) / changes * US_PER_S


def measure_client_us(held):
    """Processor time of one permit at the router, messages encoded and decoded, by permits held."""
    codec = Codec(ROUTER_MESSAGES)
    client = PermitClient("router-1", "boot", ["controller-1"], random.Random(1))
    client.advance(0.0)
    for sequence in (1, 2):
        accepted = SessionAccepted(sequence, 1, 60_000, 1, sequence == 1)
        client.handle(FromController("controller-1", accepted), 0.0)
    hold_permits(client, codec, range(held), False)
    begin = time.process_time()
    hold_permits(client, codec, range(held, held + DECISIONS), True)
    return (time.process_time() - begin) / DECISIONS * US_PER_S


def hold_permits(client, codec, tokens, release):
    """Get permits from an owner that grants everything, and perhaps release them."""
    for token in tokens:
        actions = client.handle(AcquireRequested(token, make_request(token), 1.0), 0.0)
        asked = [a.message for a in actions if isinstance(a, Send)][0]
        codec.encode(asked)
        grant = PermitGranted(
            asked.request_id, "engine-1", "boot", "127.0.0.1", 1, 1_000, 1, 1
        )  # fmt: skip
        grant = codec.decode(codec.encode(grant))
        client.handle(FromController("controller-1", grant), 0.0)
        if release:
            released = ReleaseRequested(asked.request_id, PermitOutcome.FINISHED, 10)
            for action in client.handle(released, 0.0):
                codec.encode(action.message)


def measure_message_row():
    """Return the encoded bytes of one permit's messages, with names of realistic length."""
    codec = Codec(ROUTER_MESSAGES)
    request = PermitRequested(
        2**31, "stock-advisory", 2**63, "muscat-central", "counter-answer", 500, 60_000, 2**63,
        model="advisor",
    )  # fmt: skip
    granted = PermitGranted(
        2**31, "stock-advisory-engine-1234", "0123456789abcdef", "10.20.30.40", 8000, 1_000, 1, 999
    )
    released = PermitReleased(2**31, PermitOutcome.FINISHED, 250)
    sizes = [len(codec.encode(message)) for message in (request, granted, released)]
    return f"{'bytes of request, grant, release':44} {sizes}"


def measure_stream_rows():
    """Yield a router's resident memory by open streams."""
    row = Row("router, memory of an open stream", "B")
    options = ["--capacity=1000", "--cold-capacity=1000", "--token-ms=100", "--tokens=100"]
    for streams in (1, 100, 400):
        with Fleet(Sizes(routers=1, engines=2, engine_options=options)) as fleet:
            fleet.start_serving()
            callers = [gevent.spawn(fleet.chat, 0, f"chat-{number}") for number in range(streams)]
            gevent.sleep(6.0)
            row.add(streams, read_resident_bytes(fleet.processes["router-1"].popen.pid))
            gevent.killall(callers)
    yield row


def measure_core_rows():
    """Yield the rows that need no other process."""
    plans = [
        ("ledger, memory of an upstream", "B", measure_upstream_memory, (100, 1_000, 10_000)),
        ("ledger, memory of a running permit", "B", measure_permit_memory, (1_000, 10_000, 50_000)),
        ("ledger, memory of a conversation", "B", measure_conversation_memory,
         (1_000, 10_000, 50_000)),
        ("ledger, memory of an account", "B", measure_account_memory, (100, 1_000, 7_500)),
        ("ledger, permit asked and released", "us per upstream", measure_decision_us,
         (10, 1_000, 10_000)),
        ("router, permit asked and released", "us per permit held", measure_client_us,
         (10, 1_000, 10_000)),
        ("state, memory of a claim", "B", measure_claim_memory, (1_000, 10_000, 40_000)),
        ("state, claim and record", "us per claim held", measure_claim_us, (1_000, 10_000, 40_000)),
        ("state, configuration change", "us per change made", measure_change_us,
         (100, 1_000, 4_000)),
    ]  # fmt: skip
    for name, unit, function, sizes in plans:
        row = Row(name, unit)
        for size in sizes:
            row.add(size, measure_in_child(function.__name__, size))
        yield row


def measure_idle_rows():
    """Yield idle memory, processor time and control bytes of both roles, by fleet size."""
    rows = {}
    for routers in (1, 3, 7):
        with Fleet(Sizes(controllers=3, routers=routers, engines=3)) as fleet:
            fleet.start_serving()
            gevent.sleep(2.0)
            before = {name: read_costs(fleet, name) for name in ("controller-1", "router-1")}
            gevent.sleep(IDLE_S)
            for name, start in before.items():
                end = read_costs(fleet, name)
                role = name.partition("-")[0]
                add_value(rows, f"{role}, idle memory", "MB per router", routers, end[0] / 1e6)
                share = (end[1] - start[1]) / IDLE_S * 100
                add_value(rows, f"{role}, idle processor", "% core per router", routers, share)
                sent = (end[2] - start[2]) / IDLE_S
                add_value(rows, f"{role}, idle bytes sent", "B/s per router", routers, sent)
    yield from rows.values()


def add_value(rows, name, unit, size, value):
    """Add one measurement to a row, made when it is first needed."""
    rows.setdefault(name, Row(name, unit)).add(size, value)


def read_costs(fleet, name):
    """Return a process's resident bytes, processor seconds and bytes sent to peers."""
    pid = fleet.processes[name].popen.pid
    page = fleet.get(fleet.ports[name].metrics, "/metrics").body.decode()
    sent = sum(
        float(line.rpartition(" ")[2])
        for line in page.splitlines()
        if line.startswith("sassafrashook_sent_bytes_total")
    )
    return read_resident_bytes(pid), read_cpu_s(pid), sent


def measure_order_rows():
    """Yield orders per second and their latencies by the number of concurrent callers."""
    rate = Row("orders through two of three routers", "1/s per caller")
    median = Row("order, p50", "ms per caller")
    tail = Row("order, p99", "ms per caller")
    with Fleet(Sizes(engines=1)) as fleet:
        fleet.start_serving()
        for callers in (1, 10, 100):
            latencies = place_orders(fleet, callers, 400)
            took = latencies.pop()
            latencies.sort()
            rate.add(callers, len(latencies) / took)
            median.add(callers, latencies[len(latencies) // 2] * 1000)
            tail.add(callers, latencies[int(len(latencies) * 0.99)] * 1000)
    yield from (rate, median, tail)


def place_orders(fleet, callers, count):
    """Place orders from concurrent callers; return latencies, and the whole time as the last."""
    latencies = []

    def place(caller):
        for number in range(count // callers):
            begin = time.monotonic()
            answer = fleet.order(caller % 2, f"o-{callers}-{caller}-{number}", b"{}")
            if answer.status == 201:
                latencies.append(time.monotonic() - begin)

    begin = time.monotonic()
    gevent.joinall([gevent.spawn(place, caller) for caller in range(callers)], raise_error=True)
    return [*latencies, time.monotonic() - begin]


def measure_change_rows():
    """Yield the time until a change is in force everywhere, by the number of routers."""
    row = Row("configuration change, in force everywhere", "ms per router")
    for routers in (1, 3, 7):
        with Fleet(Sizes(routers=routers, engines=1)) as fleet:
            fleet.start_serving()
            took = []
            for number in range(20):
                verb = "drain" if number % 2 == 0 else "restore"
                begin = time.monotonic()
                path = f"/v1/zones/muscat-c/{verb}"
                body = fleet.command("POST", path, {"wait_ms": 5_000}).unwrap().body
                assert body["rollout"]["in_force"]
                took.append((time.monotonic() - begin) * 1000)
            row.add(routers, sorted(took)[len(took) // 2])
    yield row


ROWS = (
    measure_core_rows,
    measure_idle_rows,
    measure_stream_rows,
    measure_order_rows,
    measure_change_rows,
)


def main():
    """Print the table."""
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True, check=False
    ).stdout.strip()
    cores = os.cpu_count()
    print(f"commit {commit}, {time.strftime('%Y-%m-%d')}, Python {platform.python_version()},")
    print(f"{platform.machine()}, {cores} cores")
    print(f"{'cost':44} {'slope':>12} {'unit':24} size: value")
    for rows in ROWS:
        for row in rows():
            print(row, flush=True)
    print(measure_message_row())


if __name__ == "__main__":
    main()
