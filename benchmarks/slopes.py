"""Measures how memory, processor time and latency grow with the size of the system.

Each cost is measured at three or more sizes; the slope of the fitted line is the cost per unit.
``docs/CAPACITY.md`` extrapolates from the printed table.

Usage: ``python -m benchmarks.slopes``
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

from fakes.fleet import Fleet, FleetSize
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
    ControllerMessageReceived,
    FleetStateChanged,
    PermitClient,
    PermitLedger,
    RegisteredRoutersLoaded,
    ReleaseRequested,
    RouterMessageReceived,
    Send,
    UpstreamAnnounced,
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
APPLY_TIME_MS = 1_000_000
DEADLINE_MS = 60_000_000
PERMIT_COUNT = 20_000
IDLE_PERIOD_S = 10.0


@dataclass(slots=True)
class CostRow:
    """A cost that was measured at several sizes.

    :ivar unit: unit of the slope, per unit of size.
    :ivar sizes: sizes of the measurements.
    :ivar values: measured cost at each size.
    """

    name: str
    unit: str
    sizes: list = field(default_factory=list)
    values: list = field(default_factory=list)

    def add_point(self, size, value):
        """Add one measurement."""
        self.sizes.append(size)
        self.values.append(value)

    def compute_slope(self):
        """Return the slope of the least-squares line through the points."""
        mean_x = sum(self.sizes) / len(self.sizes)
        mean_y = sum(self.values) / len(self.values)
        pairs = list(zip(self.sizes, self.values, strict=True))
        squared_deviation = sum((x - mean_x) ** 2 for x, _ in pairs)
        return sum((x - mean_x) * (y - mean_y) for x, y in pairs) / squared_deviation

    def __str__(self):
        points = "  ".join(f"{x}: {y:.4g}" for x, y in zip(self.sizes, self.values, strict=True))
        return f"{self.name:44} {self.compute_slope():12.4g} {self.unit:24} {points}"


def read_resident_bytes(pid="self"):
    """Return the resident memory of a process in bytes."""
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * PAGE_BYTES


def read_cpu_time_s(pid):
    """Return the processor time of a process in seconds."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def measure_in_subprocess(function, size):
    """Run one measurement in a new process, so that no earlier one affects its memory.

    :param function: name of a function of this module that takes a size and returns a number.
    :returns: the number.
    """
    code = f"from benchmarks.slopes import {function}; print({function}({size}))"
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    return float(result.stdout.strip().splitlines()[-1])


def make_fleet_state():
    """Return a fleet state whose configuration has one service."""
    return FleetState(
        revision=1,
        configuration=Configuration(
            classes=[WorkClass(name="default", waiting_ms=500, completion_ms=60_000)],
            services=[Service(name="advice", kind=UpstreamKind.ENGINE)],
        ),
    )


def make_ledger(upstreams, capacity=64):
    """Return a ledger with warm engines and the session of one router.

    :param upstreams: number of engines.
    :param capacity: requests that each engine runs at once.
    """
    ledger = PermitLedger(epoch=1, rng=random.Random(1))
    ledger.handle(FleetStateChanged(make_fleet_state()), 0.0)
    for number in range(upstreams):
        announcement = UpstreamAnnouncement(
            f"engine-{number}", UpstreamKind.ENGINE, "advice", "127.0.0.1", 1, "zone",
            "boot", 1, 1, capacity, capacity, 10_000_000,
        )  # fmt: skip
        ledger.handle(UpstreamAnnounced(announcement), 0.0)
    ledger.handle(RegisteredRoutersLoaded(()), 0.0)
    ledger.handle(RouterMessageReceived("r", SessionOpened("r", "boot", 1, 1)), 0.0)
    return ledger


def make_permit_request(number, account="shop"):
    """Return a permit request for a conversation of its own."""
    # Multiplying by 2**64 over the golden ratio spreads consecutive numbers over all keys.
    key = number * 0x9E3779B97F4A7C15 % 2**64
    return PermitRequested(number, "advice", key, account, "default", 500, 60_000, key)


def request_permits(ledger, first, count, release, account="shop"):
    """Request permits from a ledger.

    :param first: number of the first request.
    :param count: number of requests.
    :param release: whether to release each permit before the next request.
    :returns: number of permits granted.
    """
    granted = 0
    for number in range(first, first + count):
        actions = ledger.handle(
            RouterMessageReceived("r", make_permit_request(number, account)), 0.0
        )
        granted += any(isinstance(getattr(a, "message", None), PermitGranted) for a in actions)
        if release:
            released = PermitReleased(number, PermitOutcome.FINISHED, 10)
            ledger.handle(RouterMessageReceived("r", released), 0.0)
    return granted


def measure_ledger_permit_us(upstreams):
    """Return the ledger's processor time to grant and release a permit, in microseconds."""
    ledger = make_ledger(upstreams)
    request_permits(ledger, 1, 1_000, True)
    started = time.process_time()
    request_permits(ledger, 2_000, PERMIT_COUNT, True)
    return (time.process_time() - started) / PERMIT_COUNT * US_PER_S


def measure_upstream_memory(upstreams):
    """Return the resident bytes of a ledger with a number of upstreams."""
    gc.collect()
    before = read_resident_bytes()
    ledger = make_ledger(upstreams)
    gc.collect()
    used = read_resident_bytes() - before
    assert ledger is not None
    return used


def measure_permit_memory(permits):
    """Return the resident bytes of permits that are not released."""
    ledger = make_ledger(1_000, capacity=1_000)
    gc.collect()
    before = read_resident_bytes()
    request_permits(ledger, 1, permits, False)
    gc.collect()
    return read_resident_bytes() - before


def measure_conversation_memory(conversations):
    """Return the resident bytes that a ledger keeps for conversations with no running request."""
    ledger = make_ledger(100)
    gc.collect()
    before = read_resident_bytes()
    request_permits(ledger, 1, conversations, True)
    gc.collect()
    return read_resident_bytes() - before


def measure_account_memory(accounts):
    """Return the resident bytes that a ledger keeps for client accounts."""
    ledger = make_ledger(100)
    gc.collect()
    before = read_resident_bytes()
    for number in range(accounts):
        request_permits(ledger, number + 1, 1, True, f"account-{number}")
    gc.collect()
    return read_resident_bytes() - before


def make_claim(number):
    """Return a claim with a key of its own."""
    return Claim(f"attempt-{number}", "shop", "ledger", f"key-{number}", "0" * 64, DEADLINE_MS)


def apply_claims(count, batch=64):
    """Apply claims and their recorded answers to a new state machine.

    :param count: number of claims.
    :param batch: number of claims in one command.
    :returns: the state machine, and the processor time per claim in microseconds.
    """
    machine = FleetStateMachine()
    answer = RecordedAnswer("ran", 201, "application/json", b"x" * 60)
    started = time.process_time()
    index = 0
    for first in range(0, count, batch):
        numbers = range(first, min(first + batch, count))
        completions = [
            CompleteClaim(f"attempt-{n}", "shop", "ledger", f"key-{n}", answer) for n in numbers
        ]
        for items in ([make_claim(n) for n in numbers], completions):
            index += 1
            machine.apply(index, encode_command(ClaimBatch(items), APPLY_TIME_MS))
    return machine, (time.process_time() - started) / count * US_PER_S


def measure_claim_us(count):
    """Return the microseconds to encode and apply a claim and its answer, in batches of 64."""
    return apply_claims(count)[1]


def measure_claim_memory(count):
    """Return the resident bytes of claims with their recorded answers."""
    gc.collect()
    before = read_resident_bytes()
    machine, _ = apply_claims(count)
    gc.collect()
    used = read_resident_bytes() - before
    assert machine is not None
    return used


def measure_configuration_change_us(changes):
    """Return the microseconds to encode and apply a configuration change."""
    machine = FleetStateMachine()
    document = msgspec.json.encode(make_fleet_state().configuration)
    started = time.process_time()
    for revision in range(changes):
        command = ApplyConfiguration(f"c{revision}", revision, document, DEADLINE_MS)
        machine.apply(revision + 1, encode_command(command, APPLY_TIME_MS))
    return (time.process_time() - started) / changes * US_PER_S


def measure_router_permit_us(held):
    """Return the router's processor time to acquire and release a permit, in microseconds.

    The time includes the codec for all messages of the permit.

    :param held: number of permits that the router holds meanwhile.
    """
    codec = Codec(ROUTER_MESSAGES)
    client = PermitClient("router-1", "boot", ["controller-1"], random.Random(1))
    client.advance(0.0)
    for sequence in (1, 2):
        accepted = SessionAccepted(sequence, 1, 60_000, 1, sequence == 1)
        client.handle(ControllerMessageReceived("controller-1", accepted), 0.0)
    acquire_permits(client, codec, range(held), False)
    started = time.process_time()
    acquire_permits(client, codec, range(held, held + PERMIT_COUNT), True)
    return (time.process_time() - started) / PERMIT_COUNT * US_PER_S


def acquire_permits(client, codec, tokens, release):
    """Acquire permits for a router, with a simulated owner that grants every request.

    :param tokens: tokens that identify the acquisitions.
    :param release: whether to release each permit before the next one.
    """
    for token in tokens:
        actions = client.handle(AcquireRequested(token, make_permit_request(token), 1.0), 0.0)
        request = [a.message for a in actions if isinstance(a, Send)][0]
        codec.encode(request)
        grant = PermitGranted(
            request.request_id, "engine-1", "boot", "127.0.0.1", 1, 1_000, 1, 1
        )  # fmt: skip
        grant = codec.decode(codec.encode(grant))
        client.handle(ControllerMessageReceived("controller-1", grant), 0.0)
        if release:
            released = ReleaseRequested(request.request_id, PermitOutcome.FINISHED, 10)
            for action in client.handle(released, 0.0):
                codec.encode(action.message)


def format_message_sizes():
    """Return a line with the encoded bytes of a permit's messages, with realistic names."""
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
    """Yield the router's resident memory by the number of open streams."""
    row = CostRow("router, memory of an open stream", "B")
    options = ["--capacity=1000", "--cold-capacity=1000", "--token-ms=100", "--tokens=100"]
    for streams in (1, 100, 400):
        with Fleet(FleetSize(routers=1, engines=2, engine_options=options)) as fleet:
            fleet.start_serving()
            callers = [
                gevent.spawn(fleet.send_chat, 0, f"chat-{number}") for number in range(streams)
            ]
            gevent.sleep(6.0)
            row.add_point(streams, read_resident_bytes(fleet.processes_["router-1"].popen.pid))
            gevent.killall(callers)
    yield row


def measure_core_rows():
    """Yield the costs of the ledger, the permit client and the replicated state machine."""
    measurements = [
        ("ledger, memory of an upstream", "B", measure_upstream_memory, (100, 1_000, 10_000)),
        ("ledger, memory of a running permit", "B", measure_permit_memory, (1_000, 10_000, 50_000)),
        ("ledger, memory of a conversation", "B", measure_conversation_memory,
         (1_000, 10_000, 50_000)),
        ("ledger, memory of an account", "B", measure_account_memory, (100, 1_000, 7_500)),
        ("ledger, permit granted and released", "us per upstream", measure_ledger_permit_us,
         (10, 1_000, 10_000)),
        ("router, permit acquired and released", "us per permit held", measure_router_permit_us,
         (10, 1_000, 10_000)),
        ("state, memory of a claim", "B", measure_claim_memory, (1_000, 10_000, 40_000)),
        ("state, claim and record", "us per claim held", measure_claim_us, (1_000, 10_000, 40_000)),
        ("state, configuration change", "us per change made", measure_configuration_change_us,
         (100, 1_000, 4_000)),
    ]  # fmt: skip
    for name, unit, function, sizes in measurements:
        row = CostRow(name, unit)
        for size in sizes:
            row.add_point(size, measure_in_subprocess(function.__name__, size))
        yield row


def measure_idle_rows():
    """Yield memory, processor time and bytes sent of idle nodes, by the number of routers."""
    rows = {}
    for routers in (1, 3, 7):
        with Fleet(FleetSize(controllers=3, routers=routers, engines=3)) as fleet:
            fleet.start_serving()
            gevent.sleep(2.0)
            first_usages = {
                name: read_process_usage(fleet, name) for name in ("controller-1", "router-1")
            }
            gevent.sleep(IDLE_PERIOD_S)
            for name, first in first_usages.items():
                last = read_process_usage(fleet, name)
                role = name.partition("-")[0]
                add_row_point(rows, f"{role}, idle memory", "MB per router", routers, last[0] / 1e6)
                share = (last[1] - first[1]) / IDLE_PERIOD_S * 100
                add_row_point(rows, f"{role}, idle processor", "% core per router", routers, share)
                sent = (last[2] - first[2]) / IDLE_PERIOD_S
                add_row_point(rows, f"{role}, idle bytes sent", "B/s per router", routers, sent)
    yield from rows.values()


def add_row_point(rows, name, unit, size, value):
    """Add one measurement to the row of this name, which is created at its first point.

    :param rows: rows by name.
    """
    rows.setdefault(name, CostRow(name, unit)).add_point(size, value)


def read_process_usage(fleet, name):
    """Return the resident bytes, processor seconds and bytes sent to peers of a fleet process."""
    pid = fleet.processes_[name].popen.pid
    page = fleet.get(fleet.ports[name].metrics, "/metrics").body.decode()
    sent = sum(
        float(line.rpartition(" ")[2])
        for line in page.splitlines()
        if line.startswith("sassafrashook_sent_bytes_total")
    )
    return read_resident_bytes(pid), read_cpu_time_s(pid), sent


def measure_order_rows():
    """Yield the throughput and latency of orders by the number of concurrent callers."""
    throughput = CostRow("orders through two of three routers", "1/s per caller")
    p50 = CostRow("order, p50", "ms per caller")
    p99 = CostRow("order, p99", "ms per caller")
    with Fleet(FleetSize(engines=1)) as fleet:
        fleet.start_serving()
        for callers in (1, 10, 100):
            latencies = place_orders(fleet, callers, 400)
            elapsed = latencies.pop()
            latencies.sort()
            throughput.add_point(callers, len(latencies) / elapsed)
            p50.add_point(callers, latencies[len(latencies) // 2] * 1000)
            p99.add_point(callers, latencies[int(len(latencies) * 0.99)] * 1000)
    yield from (throughput, p50, p99)


def place_orders(fleet, callers, count):
    """Place orders from concurrent callers.

    :param callers: number of callers.
    :param count: number of orders, divided among the callers.
    :returns: seconds of each successful order, followed by the seconds that all orders took.
    """
    latencies = []

    def place_in_sequence(caller):
        for number in range(count // callers):
            started = time.monotonic()
            response = fleet.send_order(caller % 2, f"o-{callers}-{caller}-{number}", b"{}")
            if response.status == 201:
                latencies.append(time.monotonic() - started)

    started = time.monotonic()
    gevent.joinall(
        [gevent.spawn(place_in_sequence, caller) for caller in range(callers)], raise_error=True
    )
    return [*latencies, time.monotonic() - started]


def measure_change_rows():
    """Yield the median time until a change is in force at all routers, by their number."""
    row = CostRow("configuration change, in force everywhere", "ms per router")
    for routers in (1, 3, 7):
        with Fleet(FleetSize(routers=routers, engines=1)) as fleet:
            fleet.start_serving()
            latencies = []
            for number in range(20):
                verb = "drain" if number % 2 == 0 else "restore"
                started = time.monotonic()
                path = f"/v1/zones/muscat-c/{verb}"
                body = fleet.send_command("POST", path, {"wait_ms": 5_000}).unwrap().body
                assert body["rollout"]["in_force"]
                latencies.append((time.monotonic() - started) * 1000)
            row.add_point(routers, sorted(latencies)[len(latencies) // 2])
    yield row


ROW_SOURCES = (
    measure_core_rows,
    measure_idle_rows,
    measure_stream_rows,
    measure_order_rows,
    measure_change_rows,
)


def main():
    """Print the table, headed by the commit and the platform."""
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True, check=False
    ).stdout.strip()
    cores = os.cpu_count()
    print(f"commit {commit}, {time.strftime('%Y-%m-%d')}, Python {platform.python_version()},")
    print(f"{platform.machine()}, {cores} cores")
    print(f"{'cost':44} {'slope':>12} {'unit':24} size: value")
    for measure_rows in ROW_SOURCES:
        for row in measure_rows():
            print(row, flush=True)
    print(format_message_sizes())


if __name__ == "__main__":
    main()
