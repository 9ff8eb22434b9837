"""Measures the longest time without a completed chat when processes or connections fail.

The leading controller owns the counts of running requests, so chats wait while another one takes
over. Prints one line per fault.

Usage: ``python -m benchmarks.stalls [ROUNDS]``
"""

import signal
import sys
import time

import gevent

from fakes.fleet import EXIT_TIMEOUT_S, ExpectationError, Fleet, FleetSize

ENGINE_OPTIONS = ["--capacity=32", "--cold-capacity=16", "--token-ms=2", "--tokens=1"]
CALLER_COUNT = 6
SETTLE_S = 2.0
OBSERVATION_S = 6.0
CHAT_INTERVAL_S = 0.01


class ChatLoad:
    """Callers that send chats one after the other and record when each was complete.

    :param fleet: a started fleet.
    :ivar completed_at_: monotonic time in seconds of each complete chat.
    :ivar failed_count_: number of chats that were refused or failed.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.completed_at_ = []
        self.failed_count_ = 0
        self.stopping_ = False
        self.greenlets = [gevent.spawn(self._send_chats, n) for n in range(CALLER_COUNT)]

    def _send_chats(self, number):
        while not self.stopping_:
            try:
                self.fleet.send_chat(number % len(self.fleet.routers), f"c{number}", max_tokens=1)
                self.completed_at_.append(time.monotonic())
            except (ExpectationError, OSError):
                self.failed_count_ += 1
            gevent.sleep(CHAT_INTERVAL_S)

    def stop(self):
        """Stop the callers and wait until their last chats have ended."""
        self.stopping_ = True
        gevent.joinall(self.greenlets)

    def compute_longest_gap_ms(self, since):
        """Return the longest gap between completed chats, in milliseconds.

        The time from ``since`` to the first completed chat counts, that after the last does not.

        :param since: monotonic time in seconds at which the measurement begins.
        """
        times = [since, *(t for t in sorted(self.completed_at_) if t >= since)]
        gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
        return max(gaps, default=float("inf")) * 1000


def stop_leader(fleet, leader):
    """Stop the leader gracefully and start it again."""
    fleet.processes_[leader].send_signal(signal.SIGTERM)
    fleet.processes_[leader].wait(time.monotonic() + EXIT_TIMEOUT_S)
    fleet.start_controller(leader)


def kill_leader(fleet, leader):
    """Kill the leader and start it again."""
    fleet.processes_[leader].kill()
    fleet.start_controller(leader)


def pause_leader(fleet, leader):
    """Suspend the leader and resume it after its followers have elected another."""
    fleet.processes_[leader].send_signal(signal.SIGSTOP)
    gevent.sleep(OBSERVATION_S)
    fleet.processes_[leader].send_signal(signal.SIGCONT)


def freeze_connections(fleet, _leader):
    """Stop the traffic on every open connection between processes; new connections work."""
    for proxy in fleet.proxies_.values():
        proxy.freeze("existing")


FAULTS = (stop_leader, kill_leader, pause_leader, freeze_connections)


def measure_fault(fault, rounds):
    """Cause a fault several times under load.

    :param fault: one of :data:`FAULTS`.
    :param rounds: number of times.
    :returns: the longest gap of each round in milliseconds, and the number of failed chats.
    """
    names = ["controller-1", "controller-2", "controller-3", "router-1", "router-2", "router-3"]
    proxied = names if fault is freeze_connections else ()
    gaps = []
    with Fleet(FleetSize(engine_options=ENGINE_OPTIONS), proxied=proxied) as fleet:
        fleet.start_serving()
        load = ChatLoad(fleet)
        for _ in range(rounds):
            gevent.sleep(SETTLE_S)
            since = time.monotonic()
            fault(fleet, fleet.wait_for_leader())
            gevent.sleep(OBSERVATION_S)
            gaps.append(load.compute_longest_gap_ms(since))
        load.stop()
    return gaps, load.failed_count_


def main():
    """Print the longest gaps and the failed chats of each fault."""
    rounds = int(sys.argv[1]) if len(sys.argv) > 1 else 3
    print(f"{'fault':16} {'longest gaps, ms':36} failed")
    for fault in FAULTS:
        gaps, failed_count = measure_fault(fault, rounds)
        text = " ".join(f"{gap:.0f}" for gap in gaps)
        print(f"{fault.__name__:16} {text:36} {failed_count}", flush=True)


if __name__ == "__main__":
    main()
