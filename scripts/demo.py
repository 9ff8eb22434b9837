"""Runs a small fleet on loopback through its main functions and prints one line for each step."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from fakes.fleet import ExpectationError, Fleet


def main():
    """Run the steps.

    :returns: exit code for the shell; 1 if a step failed.
    """
    with Fleet() as fleet:
        try:
            for step in STEPS:
                print(f"ok   {step(fleet)}", flush=True)
        except ExpectationError as error:
            print(f"FAIL {step.__name__}: {error}", flush=True)
            fleet.print_logs()
            return 1
    return 0


def start_fleet(fleet):
    """Start all processes and wait until a controller leads."""
    fleet.start()
    return (
        f"{len(fleet.controllers)} controllers, {len(fleet.routers)} routers, "
        f"{len(fleet.engines)} engines and 1 ledger run as separate processes"
    )


def apply_configuration(fleet):
    """Apply the configuration and wait until every router has confirmed it."""
    output = fleet.run_cli_checked("config", "apply", fleet.configuration_file, "--wait")
    return f"configuration applied: {output.splitlines()[-1]}"


def announce_upstreams(fleet):
    """Wait until every upstream is listed, though each announces itself to one router."""
    names = fleet.wait_for_upstreams()
    return f"upstreams, each announced to one router, are known: {', '.join(sorted(names))}"


def stream_chat(fleet):
    """Stream two requests of a conversation; the second must reach the same engine."""
    first = fleet.send_chat(router=0, conversation="shop-7", turns=["dawn count: 40 kg flour"])
    second = fleet.send_chat(
        router=1, conversation="shop-7", turns=["dawn count: 40 kg flour", "and?"]
    )
    if first.upstream_id != second.upstream_id:
        raise ExpectationError(
            f"the second request was sent to {second.upstream_id}, not {first.upstream_id}"
        )
    return (
        f"a chat was streamed completely ({first.event_count} events); "
        f"its next request reached the same engine, {second.upstream_id}"
    )


def place_order(fleet):
    """Send an order twice through two routers; it must run once."""
    first = fleet.send_order(router=0, key="order-1", body=b'{"butter_kg": 25}')
    second = fleet.send_order(router=1, key="order-1", body=b'{"butter_kg": 25}')
    executions = fleet.count_executions("order-1")
    if executions != 1 or first.body != second.body:
        raise ExpectationError(
            f"executions: {executions}, responses: {first.body!r} and {second.body!r}"
        )
    return "an order sent twice through two routers ran once; both received the same response"


def drain_and_restore_zone(fleet):
    """Drain an availability zone and restore it; check where requests are sent meanwhile."""
    zone = fleet.zones[0]
    fleet.run_cli_checked("zone", "drain", zone)
    drained = {
        fleet.send_chat(router=n % 3, conversation=f"drain-{n}").upstream_id for n in range(12)
    }
    if fleet.list_zone_engines(zone) & drained:
        raise ExpectationError(f"{zone} is drained but received requests: {sorted(drained)}")
    fleet.run_cli_checked("zone", "restore", zone)
    restored = {
        fleet.send_chat(router=n % 3, conversation=f"back-{n}").upstream_id for n in range(40)
    }
    if not fleet.list_zone_engines(zone) & restored:
        raise ExpectationError(f"{zone} is restored but received no requests")
    return f"{zone} was drained (12 chats ran in other zones) and restored (it serves again)"


def stop_fleet(fleet):
    """Stop all processes gracefully."""
    exit_codes = fleet.stop()
    if any(exit_codes.values()):
        raise ExpectationError(f"exit codes: {exit_codes}")
    return f"all {len(exit_codes)} processes stopped gracefully"


STEPS = (
    start_fleet,
    apply_configuration,
    announce_upstreams,
    stream_chat,
    place_order,
    drain_and_restore_zone,
    stop_fleet,
)

if __name__ == "__main__":
    sys.exit(main())
