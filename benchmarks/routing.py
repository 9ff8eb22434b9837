"""Compares ways to place requests, on the same seeds; ``make bench-routing`` runs it.

The first table is placement: reuse of cached prefixes over returns, skew (largest load over the
mean), assignments over the rounded-up bound, refusals, control bytes. The second is service while
an availability zone leaves and returns. The third is the cost of a decision.
"""

import os

from benchmarks.routing_cost import print_costs
from benchmarks.routing_fleet import BenchFleet
from benchmarks.routing_policies import CLASSES, POLICIES, Affinity, ExactCount, LeastLoaded

DEPLOYMENTS = (("Trust", 10, 7), ("Cooperative", 5, 7), ("200 routers", 100, 200))
WARM_UP_S = 40.0
MEASURED_S = 160.0
CHURN_S = 40.0
ZONE_OUT_S, ZONE_BACK_S, ZONE_END_S = 60.0, 120.0, 180.0
ZONE_CAPACITY, ZONE_COLD_CAPACITY, ZONE_MEAN_LOAD = 16, 2, 9


def measure_placement(policy_class, engines, routers, seed):
    """Run one policy with an engine leaving every 40 s.

    :returns: the :class:`BenchFleet` after the run.
    """
    fleet = BenchFleet(policy_class, engines, routers, seed)
    fleet.run(WARM_UP_S)
    fleet.forget()
    until = WARM_UP_S
    while until < WARM_UP_S + MEASURED_S:
        fleet.churn(fleet.rng.choice(sorted(fleet.live)))
        until += CHURN_S
        fleet.run(until)
    return fleet


def print_placement(seed):
    """Print the table of placement."""
    for title, engines, routers in DEPLOYMENTS:
        print(f"\n{title}: {engines} engines, {routers} routers, seed {seed}")
        print(f"{'policy':28} reuse  p99 skew  max skew  over bound  refused  bytes/router/s")
        for policy_class in POLICIES:
            fleet = measure_placement(policy_class, engines, routers, seed)
            skews = sorted(fleet.skews)
            offered = fleet.assigned + fleet.refused
            print(
                f"{policy_class.name:28} {fleet.hits / fleet.returns:5.2f}"
                f"  {skews[int(len(skews) * 0.99)]:8.2f}  {skews[-1]:8.2f}"
                f"  {fleet.over / fleet.assigned:9.1%}  {fleet.refused / offered:7.1%}"
                f"  {fleet.policy.bytes_ / routers / MEASURED_S:14.0f}"
            )


def measure_zone(policy_class, engines, routers, seed):
    """Take zone ``a`` out and bring it back cold.

    :returns: the :class:`BenchFleet` after the run.
    """
    fleet = BenchFleet(
        policy_class, engines, routers, seed, ZONE_MEAN_LOAD, ZONE_CAPACITY, ZONE_COLD_CAPACITY
    )
    zone = [engine for engine in fleet.engines.values() if engine.zone == "a"]

    def move(out):
        for engine in zone:
            engine.finished = 10_000 if out else 0
        names = {engine.name for engine in zone}
        fleet.live = fleet.live - names if out else fleet.live | names
        if policy_class is ExactCount:
            fleet.policy.drain_zones(["a"] if out else [])

    if policy_class is ExactCount:
        for engine in fleet.engines.values():
            fleet.policy.ledger.state_.upstreams_.get(engine.name).warm_up_.raise_limit(99)
        fleet.every(0.1, fleet.policy.advance)
    fleet.at(ZONE_OUT_S, move, True)
    fleet.at(ZONE_BACK_S, move, False)
    fleet.run(ZONE_END_S + 120.0)
    return fleet


def share_within_target(fleet, work_class, since, until):
    """Return the share of the requests that arrived in a period and were whole in time."""
    targets = next(item for item in CLASSES if item.name == work_class)
    results = [
        (request, ended)
        for request, ended in fleet.results
        if request.work_class == work_class and since <= request.arrived < until
    ]
    whole = [
        request
        for request, ended in results
        if not request.failed
        and request.started - request.arrived <= targets.waiting_ms / 1000
        and ended - request.arrived <= targets.completion_ms / 1000
    ]
    return len(whole) / max(1, len(results))


def print_service(seed):
    """Print the table of service."""
    periods = (
        ("before", 20.0, ZONE_OUT_S),
        ("zone out", ZONE_OUT_S, ZONE_BACK_S),
        ("back, first 20 s", ZONE_BACK_S, ZONE_BACK_S + 20.0),
        ("back, later", ZONE_BACK_S + 20.0, ZONE_END_S),
    )
    for title, engines, routers in DEPLOYMENTS[:2]:
        print(f"\n{title}: share of answers whole within target while a zone leaves and returns")
        header = "  ".join(f"{name:>16}" for name, _, _ in periods)
        print(f"{'policy':28} {'class':8} {header}")
        for policy_class in (LeastLoaded, Affinity, ExactCount):
            fleet = measure_zone(policy_class, engines, routers, seed)
            for item in CLASSES:
                shares = [share_within_target(fleet, item.name, a, b) for _, a, b in periods]
                cells = "  ".join(f"{share:16.1%}" for share in shares)
                print(f"{policy_class.name:28} {item.name:8} {cells}")


def main():
    """Print all tables."""
    seed = int(os.environ.get("SEED", "1"))
    print_placement(seed)
    print_service(seed)
    print()
    print_costs(seed)


if __name__ == "__main__":
    main()
