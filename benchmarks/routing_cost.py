"""Measures the time of a permit decision and the memory of the ledger, by upstreams.

Usage: ``python -m benchmarks.routing_cost``
"""

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
    PermitLedger,
    RegisteredRoutersLoaded,
    RouterMessageReceived,
    UpstreamAnnounced,
)

UPSTREAM_COUNTS = (10, 1_000, 10_000)
DECISION_COUNT = 10_000
MEAN_LOAD = 10
ENGINE_CAPACITY = 16
SERVICE = "advice"


def make_ledger(upstreams, rng):
    """Return a ledger with warm engines and the session of one router.

    :param upstreams: number of engines.
    """
    ledger = PermitLedger(epoch=1, rng=rng)
    ledger.handle(FleetStateChanged(FleetState(revision=1)), 0.0)
    ledger.handle(RegisteredRoutersLoaded(()), 0.0)
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
        ledger.handle(UpstreamAnnounced(announcement), 0.0)
    ledger.handle(RouterMessageReceived("r1", SessionOpened("r1", "boot", 1, 1)), 0.0)
    return ledger


def make_permit_request(request_id, rng):
    """Return the permit request of a new conversation, from one of ten accounts."""
    key = rng.getrandbits(64)
    return PermitRequested(
        request_id, SERVICE, key, f"a{key % 10}", "chat", 1_000, 60_000, fingerprint=key
    )


def measure_decisions(upstreams, seed):
    """Fill the engines to the mean load, then time one permit request after each release.

    :param upstreams: number of engines.
    :returns: the median and the 99th percentile of a decision in microseconds, and the ledger's
        memory per upstream in bytes.
    """
    rng = random.Random(seed)
    tracemalloc.start()
    ledger = make_ledger(upstreams, rng)
    bytes_per_upstream = tracemalloc.get_traced_memory()[0] / upstreams
    tracemalloc.stop()
    held_ids = []
    durations = []
    now = 0.0
    for request_id in range(1, upstreams * MEAN_LOAD + DECISION_COUNT):
        event = RouterMessageReceived("r1", make_permit_request(request_id, rng))
        if len(held_ids) >= upstreams * MEAN_LOAD:
            now += 1e-5
            index = rng.randrange(len(held_ids))
            held_ids[index], held_ids[-1] = held_ids[-1], held_ids[index]
            released = PermitReleased(held_ids.pop(), PermitOutcome.FINISHED, 100)
            ledger.handle(RouterMessageReceived("r1", released), now)
        started = time.perf_counter()
        actions = ledger.handle(event, now)
        durations.append(time.perf_counter() - started)
        if isinstance(actions[-1].message, PermitGranted):
            held_ids.append(request_id)
    durations = sorted(durations[-DECISION_COUNT:])
    return (
        durations[len(durations) // 2] * 1e6,
        durations[int(len(durations) * 0.99)] * 1e6,
        bytes_per_upstream,
    )


def print_costs(seed):
    """Print one line for each number of upstreams."""
    print("upstreams  decision p50 us  decision p99 us  ledger bytes/upstream")
    for upstreams in UPSTREAM_COUNTS:
        p50_us, p99_us, bytes_per_upstream = measure_decisions(upstreams, seed)
        print(f"{upstreams:9}  {p50_us:15.1f}  {p99_us:15.1f}  {bytes_per_upstream:21.0f}")


if __name__ == "__main__":
    print_costs(seed=1)
