"""Starts a small fleet on loopback and takes the whole path through it, one printed line a step."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from fakes.fleet import Fleet, StepError


def main():
    """Run the steps.

    :returns: exit code for the shell; 1 if a step failed.
    """
    with Fleet() as fleet:
        try:
            for step in STEPS:
                print(f"ok   {step(fleet)}", flush=True)
        except StepError as error:
            print(f"FAIL {step.__name__}: {error}", flush=True)
            fleet.print_logs()
            return 1
    return 0


def start_fleet(fleet):
    """Start all processes and wait until they serve."""
    fleet.start()
    return (
        f"{len(fleet.controllers)} controllers, {len(fleet.routers)} routers, "
        f"{len(fleet.engines)} engines and 1 ledger run as separate processes"
    )


def apply_configuration(fleet):
    """Put the configuration in force everywhere."""
    text = fleet.operate("config", "apply", fleet.configuration_file, "--wait")
    return f"configuration applied: {text.splitlines()[-1]}"


def announce_upstreams(fleet):
    """Wait until the owner has heard of every upstream, each announced to one router only."""
    names = fleet.wait_for_upstreams()
    return f"upstreams announced to one router each are known: {', '.join(sorted(names))}"


def stream_chat(fleet):
    """Stream a chat and its return."""
    first = fleet.chat(router=0, conversation="shop-7", turns=["dawn count: 40 kg flour"])
    second = fleet.chat(router=1, conversation="shop-7", turns=["dawn count: 40 kg flour", "and?"])
    if first.engine != second.engine:
        raise StepError(f"return went to {second.engine}, not {first.engine}")
    return f"a chat was streamed whole ({first.events} events); its return hit {second.engine}"


def place_order(fleet):
    """Send one order twice, through two routers."""
    first = fleet.order(router=0, key="order-1", body=b'{"butter_kg": 25}')
    second = fleet.order(router=1, key="order-1", body=b'{"butter_kg": 25}')
    runs = fleet.count_executions("order-1")
    if runs != 1 or first.body != second.body:
        raise StepError(f"executions: {runs}, answers: {first.body!r} and {second.body!r}")
    return "an order sent twice through two routers ran once; both got the same answer"


def move_zone(fleet):
    """Take a zone out and bring it back."""
    zone = fleet.zones[0]
    fleet.operate("zone", "drain", zone)
    placed = {fleet.chat(router=n % 3, conversation=f"drain-{n}").engine for n in range(12)}
    if fleet.engines_in(zone) & placed:
        raise StepError(f"{zone} is out but got work: {sorted(placed)}")
    fleet.operate("zone", "restore", zone)
    back = {fleet.chat(router=n % 3, conversation=f"back-{n}").engine for n in range(40)}
    if not fleet.engines_in(zone) & back:
        raise StepError(f"{zone} is back but got no work")
    return f"{zone} was taken out (12 chats went elsewhere) and back (it serves again)"


def stop_fleet(fleet):
    """Stop every process gracefully."""
    codes = fleet.stop()
    if any(codes.values()):
        raise StepError(f"exit codes: {codes}")
    return f"all {len(codes)} processes stopped gracefully"


STEPS = (
    start_fleet,
    apply_configuration,
    announce_upstreams,
    stream_chat,
    place_order,
    move_zone,
    stop_fleet,
)

if __name__ == "__main__":
    sys.exit(main())
