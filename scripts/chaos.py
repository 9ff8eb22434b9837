"""Injects random faults into a fleet under load and checks its guarantees from outside.

``python scripts/chaos.py SEED [SECONDS]`` prints each fault as it begins, then the counts of the
callers and every violation that the callers, the engines or the ledger recorded. Two faults run at
a time. The exit code is 1 if there was a violation.
"""

import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import gevent

from fakes.crowds import Crowd, ProcessMeter, make_chunks, run_crowds
from fakes.fleet import CALLER_KEYS, EXIT_TIMEOUT_S, OPERATOR_KEY, Fleet, FleetSize
from fakes.load import LoadGenerator, sleep

ENGINE_CAPACITY = 16
ENGINE_OPTIONS = [f"--capacity={ENGINE_CAPACITY}", "--cold-capacity=8", "--token-ms=5"]
DEFAULT_DURATION_S = 40
CONCURRENT_FAULTS = 2
# The configured `zone_deadline_ms`: a drained zone receives no new requests after this time.
ZONE_DEADLINE_S = 3.0
SETTLE_S = 5.0
MEMORY_MB = 512  # of a process whose settings state no limit
CROWD_SIZE = 60
ENDLESS = 10**6  # pieces; a crowd stops long before
CROWD_BODIES = (
    (b"", make_chunks(64_000, 1)),
    (b"", make_chunks(1, 10_000)),
    (make_chunks(5, 1) + b"0\r\n", b"T: 1\r\n" * 4_096),
    (b"1;", b"e" * 4_096),
)


class FaultInjector:
    """Draws faults at random and injects them.

    Faults run concurrently, but at most one at a time in each group (controllers, routers, engines,
    zones), so that the others of the group can take over. Freezing connections and racing
    operators are not restricted.

    :param fleet: a started :class:`~fakes.fleet.Fleet`.
    :param rng: random generator for all choices.

    :ivar reserved_: groups that a fault runs in, and names of the processes and zones it affects.
    :ivar violations_: descriptions of violated guarantees.
    """

    def __init__(self, fleet, rng):
        self.fleet = fleet
        self.rng = rng
        self.reserved_ = set()
        self.violations_ = []
        self.faults = [
            self.kill_controller,
            self.pause_controller,
            self.stop_controller,
            self.stop_router,
            self.kill_engine,
            self.drain_zone,
            self.freeze_connections,
            self.race_operators,
            self.send_crowd,
        ]

    def run(self, deadline):
        """Inject one fault after another until the deadline, a monotonic time in seconds."""
        while time.monotonic() < deadline:
            gevent.sleep(self.rng.uniform(0.1, 0.8))
            fault = self.rng.choice(self.faults)
            print(f"{fault.__name__}", flush=True)
            fault()

    def reserve(self, group, names):
        """Reserve a group and one of its names for a fault.

        :returns: the name, or ``None`` if another fault runs in the group.
        """
        free = [name for name in names if name not in self.reserved_]
        if group in self.reserved_ or not free:
            return None
        name = self.rng.choice(free)
        self.reserved_ |= {group, name}
        return name

    def release(self, group, name):
        """Release what :meth:`reserve` reserved."""
        self.reserved_ -= {group, name}

    def kill_controller(self):
        """Kill a controller and restart it."""
        self._restart("controllers", self.fleet.controllers, signal.SIGKILL)

    def stop_controller(self):
        """Stop a controller gracefully and restart it."""
        self._restart("controllers", self.fleet.controllers, signal.SIGTERM)

    def stop_router(self):
        """Stop a router gracefully and restart it."""
        self._restart("routers", self.fleet.routers, signal.SIGTERM)

    def kill_engine(self):
        """Kill an engine and restart it, cold and with an empty cache."""
        name = self.reserve("engines", self.fleet.engines)
        if name is None:
            return
        self.fleet.processes_[name].kill()
        gevent.sleep(self.rng.uniform(0.5, 2.0))
        self.fleet.start_engine(name, self.fleet.engines.index(name))
        gevent.sleep(2.0)
        self.release("engines", name)

    def pause_controller(self):
        """Suspend a controller for longer than any lease, then resume it."""
        name = self.reserve("controllers", self.fleet.controllers)
        if name is None:
            return
        self.fleet.processes_[name].send_signal(signal.SIGSTOP)
        gevent.sleep(self.rng.uniform(2.0, 5.0))
        self.fleet.processes_[name].send_signal(signal.SIGCONT)
        gevent.sleep(1.0)
        self.release("controllers", name)

    def freeze_connections(self):
        """Freeze all open connections of one process; new connections work."""
        for proxy in self.fleet.find_proxies(self.rng.choice(sorted(self.fleet.proxied))):
            proxy.freeze("existing")

    def drain_zone(self):
        """Drain a zone, check that its engines receive no new requests, and restore it."""
        zone = self.reserve("zones", self.fleet.zones)
        if zone is None:
            return
        self._send_zone_command(zone, "drain")
        gevent.sleep(ZONE_DEADLINE_S)
        before = self._count_requests(zone)
        gevent.sleep(1.5)
        after = self._count_requests(zone)
        for name in before.keys() & after.keys():
            if after[name] != before[name]:
                self.violations_.append(
                    f"requests of {name} in drained zone {zone}: {before[name]}, then {after[name]}"
                )
        self._send_zone_command(zone, "restore")
        gevent.sleep(1.0)
        self.release("zones", zone)

    def send_crowd(self):
        """Send requests outside the limits to a router or a controller, and check its memory."""
        name = self.rng.choice([*self.fleet.routers, *self.fleet.controllers])
        key = OPERATOR_KEY if name in self.fleet.controllers else next(iter(CALLER_KEYS.values()))
        method, path = "POST", "/v1/chat/completions"
        if name in self.fleet.controllers:
            method, path = "PUT", "/v1/configuration"
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {key}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        ).encode()
        opening, piece = self.rng.choice(CROWD_BODIES)
        ports = self.fleet.ports[name]
        meter = ProcessMeter(
            self.fleet.processes_[name].popen.pid,
            lambda _host, port: port in (ports.service, ports.peer, ports.metrics),
        )
        crowd = Crowd(CROWD_SIZE, head + opening, piece, ENDLESS, self.rng.random() < 0.5)
        with run_crowds([crowd], ("127.0.0.1", ports.service), meter):
            gevent.sleep(self.rng.uniform(1.0, 4.0))
        if meter.peak_mb_ > MEMORY_MB:
            self.violations_.append(f"{name} had {meter.peak_mb_:.0f} MB within a crowd")

    def race_operators(self):
        """Change the configuration twice at once, both with the same expected revision."""
        response = self.fleet.send_command("GET", "/v1/configuration").value_or(None)
        if response is None or response.status != 200:
            return
        racers = [gevent.spawn(self._change_configuration, response.body, n) for n in range(2)]
        responses = [racer.get() for racer in racers]
        accepted = [r for r in responses if r is not None and r.status == 200]
        if len(accepted) > 1:
            self.violations_.append(
                f"two changes of one revision were accepted: {[r.body for r in accepted]}"
            )

    def _change_configuration(self, body, number):
        document = body["document"]
        classes = [dict(entry) for entry in document["classes"]]
        classes[2]["waiting_ms"] = self.rng.randrange(2_000, 3_000)
        command = {
            "expected_revision": body["revision"],
            "document": document | {"classes": classes},
        }
        return self.fleet.send_command("PUT", "/v1/configuration", command).value_or(None)

    def _send_zone_command(self, zone, verb):
        """Send ``drain`` or ``restore`` for a zone until it is accepted."""
        while True:
            response = self.fleet.send_command("POST", f"/v1/zones/{zone}/{verb}", {}).value_or(
                None
            )
            if response is not None and response.status == 200:
                return

    def _count_requests(self, zone):
        """Return the number of chats that each engine of a zone received.

        :returns: counts by name and boot id, as a restarted engine counts from zero again.
        """
        counts = {}
        for name in self.fleet.list_zone_engines(zone):
            try:
                records = self.fleet.read_records(name)
            except ValueError:
                continue
            counts[name, records["boot_id"]] = records["counts"].get("requests", 0)
        return counts

    def _restart(self, group, names, signal_number):
        name = self.reserve(group, names)
        if name is None:
            return
        process = self.fleet.processes_[name]
        process.send_signal(signal_number)
        exit_code = process.wait(time.monotonic() + EXIT_TIMEOUT_S)
        if signal_number == signal.SIGTERM and exit_code != 0:
            self.violations_.append(f"{name} exited with code {exit_code} after SIGTERM")
        gevent.sleep(self.rng.uniform(0.0, 1.0))
        self.fleet.restart(name)
        if group == "controllers":
            self.fleet.wait_until(lambda: self.fleet.read_status(name), f"{name} responds")
        self.release(group, name)


def check_engines(fleet):
    """Return descriptions of engines that received more requests than their capacity.

    The engines count their concurrent requests themselves.
    """
    violations = []
    for name in fleet.engines:
        counts = fleet.read_records(name)["counts"]
        if counts.get("max_generations", 0) > ENGINE_CAPACITY or counts.get("overload_crashes", 0):
            violations.append(f"{name} was overloaded: {counts}")
    return violations


def main():
    """Run a fleet under load with faults and print the results.

    :returns: exit code for the shell, 1 after a violation.
    """
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    duration_s = float(sys.argv[2]) if len(sys.argv) > 2 else DEFAULT_DURATION_S
    rng = random.Random(seed)
    proxied = ["router-1", "controller-2"]
    with Fleet(FleetSize(engine_options=ENGINE_OPTIONS), proxied=proxied) as fleet:
        fleet.start_serving()
        load = LoadGenerator(fleet, random.Random(seed + 1)).start()
        injector = FaultInjector(fleet, rng)
        deadline = time.monotonic() + duration_s
        workers = [gevent.spawn(injector.run, deadline) for _ in range(CONCURRENT_FAULTS)]
        gevent.joinall(workers, raise_error=True)
        sleep(SETTLE_S)
        load.stop()
        violations = injector.violations_ + load.find_violations() + check_engines(fleet)
        unconfirmed = [order for order in load.orders_ if not order.receipt]
        print(f"seed={seed} chats={dict(load.counts_)} reasons={dict(load.error_reasons_)}")
        print(f"orders={len(load.orders_)} without_receipt={len(unconfirmed)}")
        for order in unconfirmed:
            print(f"order without receipt {order.key}: {dict(order.error_reasons)}")
        if load.counts_["cut"] or load.counts_["connection_lost"]:
            violations.append("a router that was not killed broke a connection")
        for text in violations:
            print(f"VIOLATION {text}")
        if violations:
            fleet.print_logs()
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
