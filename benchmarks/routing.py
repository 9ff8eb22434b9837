"""Compares placement policies on a simulated fleet with equal seeds.

Prints three tables:

* Placement: reuse (cache hits of returning conversations), skew (largest load over the mean load),
  over bound (assignments that exceeded the rounded-up load bound), refusals, and control bytes per
  router and second.
* Service: requests completed within target while an availability zone is drained and restored.
* Cost: time of a decision and memory of the ledger, by number of upstreams.

Usage: ``make bench-routing``; the environment variable ``SEED`` sets the seed.
"""

import os

from benchmarks.routing_cost import print_costs
from benchmarks.routing_fleet import WARM_FINISHED_COUNT, SimulatedFleet
from benchmarks.routing_policies import (
    CLASSES,
    POLICIES,
    ExactCount,
    LeastReportedLoad,
    UnboundedAffinity,
)

DEPLOYMENTS = (  # name, engines, routers
    ("Trust", 10, 7),
    ("Cooperative", 5, 7),
    ("200 routers", 100, 200),
)
WARM_UP_S = 40.0
MEASURED_S = 160.0
CHURN_INTERVAL_S = 40.0
ZONE_DRAINED_S, ZONE_RESTORED_S, ZONE_END_S = 60.0, 120.0, 180.0
ZONE_CAPACITY, ZONE_COLD_CAPACITY, ZONE_MEAN_LOAD = 16, 2, 9


def measure_placement(policy_class, engines, routers, seed):
    """Run one policy while every 40 s one engine leaves for 10 s.

    :param engines: number of engines.
    :param routers: number of routers.
    :returns: the :class:`SimulatedFleet` after the run.
    """
    fleet = SimulatedFleet(policy_class, engines, routers, seed)
    fleet.run(WARM_UP_S)
    fleet.reset_counters()
    until = WARM_UP_S
    while until < WARM_UP_S + MEASURED_S:
        fleet.remove_engine(fleet.rng.choice(sorted(fleet.live_)))
        until += CHURN_INTERVAL_S
        fleet.run(until)
    return fleet


def print_placement(seed):
    """Print the placement table of each deployment."""
    for title, engines, routers in DEPLOYMENTS:
        print(f"\n{title}: {engines} engines, {routers} routers, seed {seed}")
        print(f"{'policy':28} reuse  p99 skew  max skew  over bound  refused  bytes/router/s")
        for policy_class in POLICIES:
            fleet = measure_placement(policy_class, engines, routers, seed)
            skews = sorted(fleet.skews_)
            offered = fleet.assigned_ + fleet.refused_
            print(
                f"{policy_class.name:28} {fleet.cache_hits_ / fleet.returns_:5.2f}"
                f"  {skews[int(len(skews) * 0.99)]:8.2f}  {skews[-1]:8.2f}"
                f"  {fleet.over_bound_ / fleet.assigned_:9.1%}  {fleet.refused_ / offered:7.1%}"
                f"  {fleet.policy.control_bytes_ / routers / MEASURED_S:14.0f}"
            )


def measure_zone_drain(policy_class, engines, routers, seed):
    """Drain zone ``a`` and restore it with cold engines.

    :param engines: number of engines.
    :param routers: number of routers.
    :returns: the :class:`SimulatedFleet` after the run.
    """
    fleet = SimulatedFleet(
        policy_class, engines, routers, seed, ZONE_MEAN_LOAD, ZONE_CAPACITY, ZONE_COLD_CAPACITY
    )
    zone_engines = [engine for engine in fleet.engines.values() if engine.zone == "a"]

    def set_drained(is_drained):
        for engine in zone_engines:
            # Drained engines run at full speed; restored ones start cold.
            engine.finished = WARM_FINISHED_COUNT if is_drained else 0
        names = {engine.name for engine in zone_engines}
        fleet.live_ = fleet.live_ - names if is_drained else fleet.live_ | names
        if policy_class is ExactCount:
            fleet.policy.set_drained_zones(["a"] if is_drained else [])

    if policy_class is ExactCount:
        # The simulated engines start warm, so the ledger must not limit them as cold ones.
        for engine in fleet.engines.values():
            fleet.policy.ledger.state_.upstreams_.get(engine.name).warm_up_.raise_limit(99)
        fleet.repeat(0.1, fleet.policy.advance)
    fleet.schedule(ZONE_DRAINED_S, set_drained, True)
    fleet.schedule(ZONE_RESTORED_S, set_drained, False)
    fleet.run(ZONE_END_S + 120.0)
    return fleet


def compute_share_within_target(fleet, work_class, since, until):
    """Return the share of requests that met the targets of their work class.

    :param since: start of the period in which the requests arrived, in simulated seconds.
    :param until: end of that period, exclusive.
    """
    targets = next(item for item in CLASSES if item.name == work_class)
    results = [
        (request, ended_at)
        for request, ended_at in fleet.results_
        if request.work_class == work_class and since <= request.arrived_at < until
    ]
    within_target = [
        request
        for request, ended_at in results
        if not request.failed
        and request.started_at - request.arrived_at <= targets.waiting_ms / 1000
        and ended_at - request.arrived_at <= targets.completion_ms / 1000
    ]
    return len(within_target) / max(1, len(results))


def print_service(seed):
    """Print the table of requests completed within target, by policy, class and period."""
    periods = (
        ("before", 20.0, ZONE_DRAINED_S),
        ("zone drained", ZONE_DRAINED_S, ZONE_RESTORED_S),
        ("restored, 20 s", ZONE_RESTORED_S, ZONE_RESTORED_S + 20.0),
        ("restored, later", ZONE_RESTORED_S + 20.0, ZONE_END_S),
    )
    for title, engines, routers in DEPLOYMENTS[:2]:
        print(f"\n{title}: share completed within target while a zone is drained and restored")
        header = "  ".join(f"{name:>16}" for name, _, _ in periods)
        print(f"{'policy':28} {'class':8} {header}")
        for policy_class in (LeastReportedLoad, UnboundedAffinity, ExactCount):
            fleet = measure_zone_drain(policy_class, engines, routers, seed)
            for item in CLASSES:
                shares = [
                    compute_share_within_target(fleet, item.name, a, b) for _, a, b in periods
                ]
                cells = "  ".join(f"{share:16.1%}" for share in shares)
                print(f"{policy_class.name:28} {item.name:8} {cells}")


def main():
    """Print all tables for the seed in the environment variable ``SEED``."""
    seed = int(os.environ.get("SEED", "1"))
    print_placement(seed)
    print_service(seed)
    print()
    print_costs(seed)


if __name__ == "__main__":
    main()
