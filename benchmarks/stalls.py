"""Longest time without a served chat while the owner of the running counts moves.

``python -m benchmarks.stalls [ROUNDS]`` prints one line for each fault.
"""

import signal
import sys
import time

import gevent

from fakes.fleet import STOP_S, Fleet, Sizes, StepError

ENGINE_OPTIONS = ["--capacity=32", "--cold-capacity=16", "--token-ms=2", "--tokens=1"]
CALLERS = 6
SETTLE_S = 2.0
AFTER_S = 6.0
PAUSE_S = 0.01


class Pulse:
    """Callers that note when each of their chats was whole.

    :param fleet: a started fleet.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.moments = []
        self.refused = 0
        self.stopping = False
        self.greenlets = [gevent.spawn(self._run, n) for n in range(CALLERS)]

    def _run(self, number):
        while not self.stopping:
            try:
                self.fleet.chat(number % len(self.fleet.routers), f"c{number}", max_tokens=1)
                self.moments.append(time.monotonic())
            except (StepError, OSError):
                self.refused += 1
            gevent.sleep(PAUSE_S)

    def stop(self):
        """End the callers."""
        self.stopping = True
        gevent.joinall(self.greenlets)

    def find_longest_gap(self, since):
        """Return the longest time between two whole chats after a moment, milliseconds."""
        moments = [since, *(m for m in sorted(self.moments) if m >= since)]
        gaps = [b - a for a, b in zip(moments, moments[1:], strict=False)]
        return max(gaps, default=float("inf")) * 1000


def stop_leader(fleet, leader):
    """Stop the leader gracefully and start it again."""
    fleet.processes[leader].signal(signal.SIGTERM)
    fleet.processes[leader].wait(time.monotonic() + STOP_S)
    fleet.start_controller(leader)


def kill_leader(fleet, leader):
    """Kill the leader and start it again."""
    fleet.processes[leader].kill()
    fleet.start_controller(leader)


def freeze_leader(fleet, leader):
    """Freeze the leader, and let it go on after its followers have moved on."""
    fleet.processes[leader].signal(signal.SIGSTOP)
    gevent.sleep(AFTER_S)
    fleet.processes[leader].signal(signal.SIGCONT)


def freeze_streams(fleet, _leader):
    """Let every open stream between processes go silent; new ones work."""
    for proxy in fleet.proxies.values():
        proxy.freeze("existing")


FAULTS = (stop_leader, kill_leader, freeze_leader, freeze_streams)


def measure(fault, rounds):
    """Return the longest gaps of several rounds of one fault, and the refusals."""
    names = ["controller-1", "controller-2", "controller-3", "router-1", "router-2", "router-3"]
    proxied = names if fault is freeze_streams else ()
    gaps = []
    with Fleet(Sizes(engine_options=ENGINE_OPTIONS), proxied=proxied) as fleet:
        fleet.start_serving()
        pulse = Pulse(fleet)
        for _ in range(rounds):
            gevent.sleep(SETTLE_S)
            since = time.monotonic()
            fault(fleet, fleet.find_leader())
            gevent.sleep(AFTER_S)
            gaps.append(pulse.find_longest_gap(since))
        pulse.stop()
    return gaps, pulse.refused


def main():
    """Print the table."""
    rounds = int(sys.argv[1]) if len(sys.argv) > 1 else 3
    print(f"{'fault':16} {'longest gaps, ms':36} refused")
    for fault in FAULTS:
        gaps, refused = measure(fault, rounds)
        text = " ".join(f"{gap:.0f}" for gap in gaps)
        print(f"{fault.__name__:16} {text:36} {refused}", flush=True)


if __name__ == "__main__":
    main()
