"""A whole fleet under load while seeded faults come two at a time, checked from outside.

``python scripts/chaos.py SEED [SECONDS]`` prints each fault and what the callers, the engines and
the ledger recorded; it exits non-zero if something happened that must never happen.
"""

import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import gevent

from fakes.fleet import STOP_S, Fleet, Sizes
from fakes.load import Load, wait_for

ENGINE_OPTIONS = ["--capacity=16", "--cold-capacity=8", "--token-ms=5"]
DEFAULT_S = 40
FAULTS_AT_ONCE = 2
ZONE_DEADLINE_S = 3.0
SETTLE_S = 5.0


class Chaos:
    """Draws faults and brings them about; controllers are hit one at a time.

    :param fleet: a started fleet.
    :param rng: seeded source of all choices.
    """

    def __init__(self, fleet, rng):
        self.fleet = fleet
        self.rng = rng
        self.busy = set()
        self.wrong = []
        self.faults = [
            self.kill_controller,
            self.freeze_controller,
            self.stop_controller,
            self.stop_router,
            self.kill_engine,
            self.drain_zone,
            self.freeze_streams,
            self.race_operators,
        ]

    def run(self, deadline):
        """Bring about faults until the deadline."""
        while time.monotonic() < deadline:
            gevent.sleep(self.rng.uniform(0.1, 0.8))
            fault = self.rng.choice(self.faults)
            print(f"{fault.__name__}", flush=True)
            fault()

    def hold(self, group, names):
        """Pick a name that no other fault holds, or ``None`` if the whole group must be spared."""
        free = [name for name in names if name not in self.busy]
        if group in self.busy or not free:
            return None
        name = self.rng.choice(free)
        self.busy |= {group, name}
        return name

    def let_go(self, group, name):
        """End what :meth:`hold` began."""
        self.busy -= {group, name}

    def kill_controller(self):
        """Kill a controller and start it again."""
        self._restart("controllers", self.fleet.controllers, signal.SIGKILL)

    def stop_controller(self):
        """Stop a controller gracefully and start it again."""
        self._restart("controllers", self.fleet.controllers, signal.SIGTERM)

    def stop_router(self):
        """Stop a router gracefully and start it again."""
        self._restart("routers", self.fleet.routers, signal.SIGTERM)

    def kill_engine(self):
        """Kill an engine and start it again, cold."""
        name = self.hold("engines", self.fleet.engines)
        if name is None:
            return
        self.fleet.processes[name].kill()
        gevent.sleep(self.rng.uniform(0.5, 2.0))
        self.fleet.start_engine(name, self.fleet.engines.index(name))
        gevent.sleep(2.0)
        self.let_go("engines", name)

    def freeze_controller(self):
        """Freeze a controller for longer than any lease."""
        name = self.hold("controllers", self.fleet.controllers)
        if name is None:
            return
        self.fleet.processes[name].signal(signal.SIGSTOP)
        gevent.sleep(self.rng.uniform(2.0, 5.0))
        self.fleet.processes[name].signal(signal.SIGCONT)
        gevent.sleep(1.0)
        self.let_go("controllers", name)

    def freeze_streams(self):
        """Let all open streams of one process go silent; new ones work."""
        for proxy in self.fleet.proxies_of(self.rng.choice(sorted(self.fleet.proxied))):
            proxy.freeze("existing")

    def drain_zone(self):
        """Take a zone out, look that it gets nothing new, and bring it back."""
        zone = self.hold("zones", self.fleet.zones)
        if zone is None:
            return
        self._move_zone(zone, "drain")
        gevent.sleep(ZONE_DEADLINE_S)
        before = self._count_requests(zone)
        gevent.sleep(1.5)
        after = self._count_requests(zone)
        for name in before.keys() & after.keys():
            if after[name] != before[name]:
                self.wrong.append(f"{name} in drained {zone}: {before[name]} then {after[name]}")
        self._move_zone(zone, "restore")
        gevent.sleep(1.0)
        self.let_go("zones", zone)

    def race_operators(self):
        """Have two operators change the configuration with one revision."""
        answer = self.fleet.command("GET", "/v1/configuration").value_or(None)
        if answer is None or answer.status != 200:
            return
        racers = [gevent.spawn(self._change, answer.body, n) for n in range(2)]
        answers = [racer.get() for racer in racers]
        winners = [a for a in answers if a is not None and a.status == 200]
        if len(winners) > 1:
            self.wrong.append(f"two operators won: {[a.body for a in winners]}")

    def _change(self, body, number):
        document = body["document"]
        classes = [dict(entry) for entry in document["classes"]]
        classes[2]["waiting_ms"] = self.rng.randrange(2_000, 3_000)
        command = {
            "expected_revision": body["revision"],
            "document": document | {"classes": classes},
        }
        return self.fleet.command("PUT", "/v1/configuration", command).value_or(None)

    def _move_zone(self, zone, verb):
        while True:
            answer = self.fleet.command("POST", f"/v1/zones/{zone}/{verb}", {}).value_or(None)
            if answer is not None and answer.status == 200:
                return

    def _count_requests(self, zone):
        counts = {}
        for name in self.fleet.engines_in(zone):
            try:
                records = self.fleet.read_records(name)
            except ValueError:
                continue
            counts[name, records["boot_id"]] = records["counts"].get("requests", 0)
        return counts

    def _restart(self, group, names, number):
        name = self.hold(group, names)
        if name is None:
            return
        process = self.fleet.processes[name]
        process.signal(number)
        code = process.wait(time.monotonic() + STOP_S)
        if number == signal.SIGTERM and code != 0:
            self.wrong.append(f"{name} ended with {code} after a planned stop")
        gevent.sleep(self.rng.uniform(0.0, 1.0))
        self.fleet.restart(name)
        if group == "controllers":
            self.fleet.wait_until(lambda: self.fleet.read_status(name), f"{name} answers")
        self.let_go(group, name)


def check_engines(fleet):
    """Return engines that were given more than they bear, as they counted themselves."""
    wrong = []
    for name in fleet.engines:
        counts = fleet.read_records(name)["counts"]
        if counts.get("max_streams", 0) > 16 or counts.get("fell_over", 0):
            wrong.append(f"{name} was pushed too far: {counts}")
    return wrong


def main():
    """Run.

    :returns: exit code for the shell.
    """
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else DEFAULT_S
    rng = random.Random(seed)
    proxied = ["router-1", "controller-2"]
    with Fleet(Sizes(engine_options=ENGINE_OPTIONS), proxied=proxied) as fleet:
        fleet.start_serving()
        load = Load(fleet, random.Random(seed + 1)).start()
        chaos = Chaos(fleet, rng)
        deadline = time.monotonic() + seconds
        workers = [gevent.spawn(chaos.run, deadline) for _ in range(FAULTS_AT_ONCE)]
        gevent.joinall(workers, raise_error=True)
        wait_for(SETTLE_S)
        load.stop()
        wrong = chaos.wrong + load.check() + check_engines(fleet)
        unserved = [order for order in load.orders if not order.receipt]
        print(f"seed={seed} chats={dict(load.counts)} reasons={dict(load.reasons)}")
        print(f"orders={len(load.orders)} without_receipt={len(unserved)}")
        for order in unserved:
            print(f"unserved {order.key}: {dict(order.reasons)}")
        if load.counts["cut"] or load.counts["connection_lost"]:
            wrong.append("a router that was not killed cut a connection")
        for text in wrong:
            print(f"WRONG {text}")
        if wrong:
            fleet.print_logs()
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
