"""Cost of a decision and memory of the owner, by number of upstreams."""

import random
import time
import tracemalloc

from sassafrashook.configuration import FleetState
from sassafrashook.messages import (
    PermitGranted,
    PermitOutcome,
    PermitReleased,
    PermitRequested,
    SessionOpened,
    UpstreamAnnouncement,
    UpstreamKind,
)
from sassafrashook.routing import (
    FleetStateChanged,
    FromRouter,
    PermitLedger,
    RoutersKnown,
    UpstreamSeen,
)

UPSTREAM_COUNTS = (10, 1_000, 10_000)
DECISIONS = 10_000
MEAN_LOAD = 10
ENGINE_CAPACITY = 16
SERVICE = "advice"


def make_ledger(upstreams, rng):
    """Return a ledger with one router's session and warm engines.

    :param upstreams: number of engines.
    """
    ledger = PermitLedger(epoch=1, rng=rng)
    ledger.handle(FleetStateChanged(FleetState(revision=1)), 0.0)
    ledger.handle(RoutersKnown(()), 0.0)
    for index in range(upstreams):
        announcement = UpstreamAnnouncement(
            upstream_id=f"e{index}",
            kind=UpstreamKind.ENGINE,
            service=SERVICE,
            host="127.0.0.1",
            port=1,
            availability_zone="abc"[index % 3],
            boot_id="b",
            sequence=1,
            incarnation=1,
            capacity=ENGINE_CAPACITY,
            cold_capacity=ENGINE_CAPACITY,
            valid_ms=10_000_000,
        )
        ledger.handle(UpstreamSeen(announcement), 0.0)
    ledger.handle(FromRouter("r1", SessionOpened("r1", "boot", 1, 1)), 0.0)
    return ledger


def make_query(request_id, rng):
    """Return a request of a random conversation among ten an engine."""
    key = rng.getrandbits(64)
    return PermitRequested(
        request_id, SERVICE, key, f"a{key % 10}", "chat", 1_000, 60_000, fingerprint=key
    )


def measure(upstreams, seed):
    """Fill the engines to the mean load, then time pairs of a release and a request.

    :returns: microseconds of the median and the 99th percentile decision, and bytes an upstream.
    """
    rng = random.Random(seed)
    tracemalloc.start()
    ledger = make_ledger(upstreams, rng)
    bytes_each = tracemalloc.get_traced_memory()[0] / upstreams
    tracemalloc.stop()
    held = []
    costs = []
    now = 0.0
    for request_id in range(1, upstreams * MEAN_LOAD + DECISIONS):
        query = FromRouter("r1", make_query(request_id, rng))
        if len(held) >= upstreams * MEAN_LOAD:
            now += 1e-5
            index = rng.randrange(len(held))
            held[index], held[-1] = held[-1], held[index]
            ended = PermitReleased(held.pop(), PermitOutcome.FINISHED, 100)
            ledger.handle(FromRouter("r1", ended), now)
        started = time.perf_counter()
        actions = ledger.handle(query, now)
        costs.append(time.perf_counter() - started)
        if isinstance(actions[-1].message, PermitGranted):
            held.append(request_id)
    costs = sorted(costs[-DECISIONS:])
    return costs[len(costs) // 2] * 1e6, costs[int(len(costs) * 0.99)] * 1e6, bytes_each


def print_costs(seed):
    """Print the table of costs."""
    print("upstreams  decision p50 us  decision p99 us  owner bytes an upstream")
    for upstreams in UPSTREAM_COUNTS:
        median, high, bytes_each = measure(upstreams, seed)
        print(f"{upstreams:9}  {median:15.1f}  {high:15.1f}  {bytes_each:23.0f}")


if __name__ == "__main__":
    print_costs(seed=1)
