"""Starts and drives a small fleet of real processes on loopback, for the demo and the tests."""

import json
import os
import shutil
import signal
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import gevent
import yaml
from gevent import socket, subprocess
from geventhttpclient import HTTPClient

from fakes.fault_proxy import FaultProxy
from sassafrashook.operations._client import ControllerAddress, OperatorClient

ROOT = Path(__file__).resolve().parent.parent
ZONES = ("muscat-a", "muscat-b", "muscat-c")
PORT_RANGE = (20_000, 30_000)
START_S = 30
STOP_S = 40
POLL_S = 0.05
REQUEST_S = 30
COMMAND_S = 20
DEADLINE_MS = 20_000
LOG_TAIL = 2_000
CALLER_KEYS = {"muscat-central": "caller-key-muscat", "sohar": "caller-key-sohar-0"}
UPSTREAM_KEY = "upstream-key-0123456789"
OPERATOR_KEY = "operator-key-0123456789"


class StepError(Exception):
    """Something that was waited for or expected did not happen."""


class PortAllocator:
    """Hands out ports below the range that the system takes for outgoing connections."""

    def __init__(self):
        low, high = PORT_RANGE
        self.next_ = low + os.getpid() * 37 % (high - low)

    def take(self):
        """Return a port that is free now."""
        low, high = PORT_RANGE
        while True:
            self.next_ = low + (self.next_ + 1 - low) % (high - low)
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind(("127.0.0.1", self.next_))
                except OSError:
                    continue
            return self.next_


@dataclass(slots=True)
class Process:
    """One process of the fleet.

    :param command: how it is started.
    :param log: path of its output.
    """

    name: str
    command: list
    log: Path
    popen: subprocess.Popen | None = None

    def start(self):
        """Start it."""
        with open(self.log, "ab") as output:
            self.popen = subprocess.Popen(self.command, cwd=ROOT, stdout=output, stderr=output)

    def signal(self, number):
        """Send a signal to it."""
        self.popen.send_signal(number)

    def kill(self):
        """End it at once and reap it."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.kill()
            self.popen.wait()

    def wait(self, deadline):
        """Return its exit code, or ``None`` if it still runs at the deadline."""
        while self.popen.poll() is None and time.monotonic() < deadline:
            gevent.sleep(POLL_S)
        return self.popen.poll()


@dataclass(slots=True)
class Answer:
    """What a caller got.

    :param events: server-sent events received, the end marker not counted.
    """

    status: int
    headers: dict
    body: bytes
    events: int = 0
    engine: str = ""

    @property
    def is_whole(self):
        """Whether a stream came to its end marker."""
        return b"data: [DONE]" in self.body.split(b"\n\n")

    @property
    def has_error(self):
        """Whether a stream ended by a plain error event."""
        return b"\n\nevent: error\n" in b"\n\n" + self.body

    def read_text(self):
        """Return the text that a stream carried."""
        parts = [part[6:] for part in self.body.split(b"\n\n") if part.startswith(b"data: {")]
        return "".join(json.loads(part)["choices"][0]["delta"]["content"] for part in parts)

    def read_error(self):
        """Return the error's verdict, reason and time to come back."""
        data = self.body.rpartition(b"data: ")[2] if self.has_error else self.body
        try:
            return json.loads(data)["error"]
        except (ValueError, KeyError, TypeError):
            return {}


@dataclass(slots=True)
class Ports:
    """Ports of one process."""

    peer: int
    front: int
    metrics: int


@dataclass(slots=True)
class Sizes:
    """How many processes of each role run."""

    controllers: int = 3
    routers: int = 3
    engines: int = 3
    engine_options: list = field(default_factory=list)


class Fleet:
    """Controllers, routers, fake engines and a fake ledger as separate processes.

    :param sizes: a :class:`Sizes`.
    :param tls: folder of certificates made by ``fakes.certificates``, or ``None``.
    :param program: command that runs sassafrashook.
    :param proxied: names of processes whose streams to and from peers pass fault proxies.
    """

    def __init__(
        self,
        sizes=None,
        tls=None,
        program=(sys.executable, "-m", "sassafrashook"),
        proxied=(),
    ):
        self.sizes = sizes or Sizes()
        self.tls = tls
        self.program = list(program)
        self.folder = Path(tempfile.mkdtemp(prefix="fleet-"))
        self.zones = ZONES
        self.proxied = set(proxied)
        self.proxies = {}
        self.processes = {}
        self.ports = {}
        self.controllers = [f"controller-{n + 1}" for n in range(self.sizes.controllers)]
        self.routers = [f"router-{n + 1}" for n in range(self.sizes.routers)]
        self.engines = [f"engine-{n + 1}" for n in range(self.sizes.engines)]
        self.configuration_file = str(ROOT / "examples" / "trust" / "configuration.yaml")
        allocator = PortAllocator()
        for name in [*self.controllers, *self.routers, *self.engines, "ledger"]:
            self.ports[name] = Ports(allocator.take(), allocator.take(), allocator.take())

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes.values():
            process.kill()
        for proxy in self.proxies.values():
            proxy.stop()
        shutil.rmtree(self.folder, ignore_errors=True)

    def start(self):
        """Start everything and wait until the controllers answer."""
        self._write_keys()
        for name in self.controllers:
            self.start_controller(name, bootstrap=True)
        for name in self.routers:
            self.start_router(name)
        self.wait_until(self._has_leader, "a controller leads")
        for index, name in enumerate(self.engines):
            self.start_engine(name, index)
        self.start_ledger()

    def start_serving(self):
        """Start everything, put the configuration in force and wait until all routers serve."""
        self.start()
        self.operate("config", "apply", self.configuration_file, "--wait")
        self.wait_for_upstreams()

    def restart(self, name):
        """Start an ended controller or router again."""
        if name in self.controllers:
            self.start_controller(name)
            return
        self.start_router(name)
        self.wait_until(lambda: self.is_serving(name), f"{name} serves")

    def start_controller(self, name, bootstrap=False):
        """Start one controller."""
        extra = {
            "operator_endpoint": self._endpoint(self.ports[name].front),
            "data_folder": str(self.folder / name),
            "bootstrap": bootstrap,
        }
        self._start_role("controller", name, extra)

    def start_router(self, name):
        """Start one router."""
        extra = {
            "caller_endpoint": self._endpoint(self.ports[name].front),
            "balancer_interval_ms": 300,
        }
        self._start_role("router", name, extra)

    def start_engine(self, name, index, *options):
        """Start one fake engine that announces itself to one router."""
        options = [*self.sizes.engine_options, "--model=advisor", *options]
        self._start_fake("engine", name, "stock-advisory", index, options)

    def start_ledger(self, *options):
        """Start the fake ledger."""
        self._start_fake("ledger", "ledger", "stock-ledger", 1, options)

    def wait_until(self, condition, what, timeout_s=START_S):
        """Wait until a condition holds.

        :raises StepError: if it does not in time, or a process has ended.
        """
        deadline = time.monotonic() + timeout_s
        while True:
            value = condition()
            if value:
                return value
            if time.monotonic() >= deadline:
                raise StepError(f"waited {timeout_s} s for: {what}")
            gevent.sleep(POLL_S)

    def wait_for_upstreams(self):
        """Wait until the owner lists every upstream and every router serves."""
        wanted = {*self.engines, "ledger"}

        def list_known():
            names = {entry["upstream_id"] for entry in self.list_upstreams()}
            return names if names >= wanted else None

        names = self.wait_until(list_known, f"upstreams {sorted(wanted)}")
        self.wait_until(
            lambda: all(self.is_serving(name) for name in self.routers), "all routers serve"
        )
        return names

    def list_upstreams(self):
        """Return the upstreams as an operator sees them."""
        result = self.run_operator("upstream", "list", "--json")
        return json.loads(result.stdout)["upstreams"] if result.returncode == 0 else []

    def is_serving(self, router):
        """Return whether a router's health page says so."""
        return self.get(self.ports[router].front, "/healthz").status == 200

    def operate(self, *words):
        """Run one operator command; return what it printed.

        :raises StepError: if it fails.
        """
        result = self.run_operator(*words)
        if result.returncode != 0:
            raise StepError(f"{' '.join(words)}: exit {result.returncode}: {result.stderr.strip()}")
        return result.stdout.strip()

    def command(
        self, method, path, body=None, command_id=None, controllers=None, timeout_s=COMMAND_S
    ):
        """Send one operator command without starting a program for it.

        :param controllers: names of those to ask, default all.
        :param timeout_s: how long to try.
        :returns: ``Success`` of an ``OperatorAnswer`` or ``Failure`` of an ``OperatorError``.
        """
        names = controllers or self.controllers
        addresses = [ControllerAddress("127.0.0.1", self.ports[name].front) for name in names]
        deadline = time.monotonic() + timeout_s
        return OperatorClient(addresses, OPERATOR_KEY, deadline).call(
            method, path, body, command_id
        )

    def find_leader(self):
        """Return the name of the controller that leads; wait until one does."""
        return self.wait_until(self._find_leader, "a controller leads")

    def _find_leader(self):
        for name in self.controllers:
            if self.read_status(name).get("leading"):
                return name
        return None

    def read_status(self, name):
        """Return what one controller says of itself; empty if it does not answer."""
        client = HTTPClient(
            "127.0.0.1", self.ports[name].front, connection_timeout=1, network_timeout=1
        )
        try:
            headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
            return json.loads(client.get("/v1/status", headers=headers).read())
        except (OSError, ValueError):
            return {}
        finally:
            client.close()

    def run_operator(self, *words, controllers=None):
        """Run one operator command; return the completed process."""
        names = controllers or self.controllers
        addresses = ",".join(f"127.0.0.1:{self.ports[name].front}" for name in names)
        command = [
            *(*self.program, *(str(word) for word in words), f"--controllers={addresses}"),
            f"--key_file={self.folder / 'operator.key'}",
        ]
        return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)

    def chat(self, router=0, conversation="chat", turns=("hello",), account=None, **fields):
        """Send one streamed chat and read it to its end."""
        messages = [{"role": "user", "content": turn} for turn in turns]
        body = {"model": "advisor", "stream": True, "messages": messages, **fields}
        headers = {"X-Conversation-Id": conversation, "Content-Type": "application/json"}
        answer = self.send(router, "POST", "/v1/chat/completions", headers, body, account)
        answer.events = answer.body.count(b"data: {")
        if answer.status != 200 or not answer.is_whole:
            raise StepError(f"chat: {answer.status} {answer.body[-300:]!r}")
        return answer

    def order(self, router, key, body, deadline_ms=DEADLINE_MS, account=None):
        """Send one order; return its answer whatever it is."""
        headers = {
            "Idempotency-Key": key,
            "X-Deadline": str(int(time.time() * 1000) + deadline_ms),
            "Content-Type": "application/json",
        }
        return self.send(router, "POST", "/ledger/orders", headers, body, account)

    def send(self, router, method, path, headers, body, account=None):
        """Send one request to a router and read the whole answer."""
        account = account or next(iter(CALLER_KEYS))
        headers = {**headers, "Authorization": f"Bearer {CALLER_KEYS[account]}"}
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        port = self.ports[self.routers[router]].front
        client = HTTPClient(
            "127.0.0.1", port, connection_timeout=REQUEST_S, network_timeout=REQUEST_S
        )
        try:
            response = client.request(method, path, body=data, headers=headers)
            content = bytes(response.read())
            found = {key.lower(): value for key, value in response.headers}
            engine = found.get("x-upstream-id", "")
            return Answer(response.status_code, found, content, engine=engine)
        finally:
            client.close()

    def get(self, port, path):
        """Get a page of any process; status 0 if it can't be reached."""
        client = HTTPClient("127.0.0.1", port, connection_timeout=2, network_timeout=2)
        try:
            response = client.get(path)
            return Answer(response.status_code, {}, bytes(response.read()))
        except OSError:
            return Answer(0, {}, b"")
        finally:
            client.close()

    def read_records(self, upstream):
        """Return what a fake counted."""
        return json.loads(self.get(self.ports[upstream].front, "/debug/records").body)

    def count_executions(self, key):
        """Return how often the ledger executed the order with a key."""
        return self.read_records("ledger")["executions"].get(key, 0)

    def engines_in(self, zone):
        """Return the engines of one availability zone."""
        index = self.zones.index(zone)
        return {name for n, name in enumerate(self.engines) if n % len(self.zones) == index}

    def stop(self):
        """Stop every process gracefully: upstreams, then routers, then controllers.

        :returns: exit codes by name; ``None`` for one that did not end.
        """
        codes = {}
        for names in (["ledger", *self.engines], self.routers, self.controllers):
            running = [name for name in names if name in self.processes]
            for name in running:
                self.processes[name].signal(signal.SIGTERM)
            deadline = time.monotonic() + STOP_S
            for name in running:
                codes[name] = self.processes[name].wait(deadline)
        return codes

    def print_logs(self):
        """Print the end of each process's output."""
        for process in self.processes.values():
            text = process.log.read_text(errors="replace")[-LOG_TAIL:]
            print(f"--- {process.name}\n{text}", flush=True)

    def _has_leader(self):
        return self.run_operator("config", "show").returncode == 0

    def _endpoint(self, port):
        return {"host": "127.0.0.1", "port": port}

    def _peers(self, source, names):
        return [
            {"name": name, "host": "127.0.0.1", "port": self._find_peer_port(source, name)}
            for name in names
        ]

    def _find_peer_port(self, source, name):
        port = self.ports[name].peer
        if source == name or not {source, name} & self.proxied:
            return port
        key = (source, name)
        if key not in self.proxies:
            self.proxies[key] = FaultProxy(("127.0.0.1", port)).start()
        return self.proxies[key].address[1]

    def proxies_of(self, name):
        """Return the proxies on the streams to and from a proxied process."""
        return [proxy for key, proxy in self.proxies.items() if name in key]

    def _write_keys(self):
        (self.folder / "callers.yaml").write_text(yaml.safe_dump(CALLER_KEYS))
        (self.folder / "upstreams.key").write_text(UPSTREAM_KEY)
        (self.folder / "operators.yaml").write_text(yaml.safe_dump({"operator": OPERATOR_KEY}))
        (self.folder / "operator.key").write_text(OPERATOR_KEY)

    def _start_role(self, role, name, extra):
        keys = {"upstreams": str(self.folder / "upstreams.key")}
        if role == "router":
            keys["callers"] = str(self.folder / "callers.yaml")
        else:
            keys["operators"] = str(self.folder / "operators.yaml")
        index = int(name.rsplit("-", 1)[1]) - 1
        settings = {
            "name": name,
            "availability_zone": self.zones[index % len(self.zones)],
            "peer_endpoint": self._endpoint(self.ports[name].peer),
            "metrics_endpoint": self._endpoint(self.ports[name].metrics),
            "controllers": self._peers(name, self.controllers),
            "routers": self._peers(name, self.routers),
            "keys": keys,
            **extra,
        }
        if self.tls is not None:
            settings["tls"] = {
                "certificate": str(Path(self.tls) / f"{name}.crt"),
                "key": str(Path(self.tls) / f"{name}.key"),
                "authority": str(Path(self.tls) / "authority.crt"),
            }
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        self._launch(name, [*self.program, role, "run", str(path)])

    def _start_fake(self, module, name, service, index, options):
        router = self.routers[index % len(self.routers)]
        command = [
            *(sys.executable, "-m", f"fakes.{module}", f"--id={name}", f"--service={service}"),
            *(f"--zone={self.zones[index % len(self.zones)]}", f"--port={self.ports[name].front}"),
            f"--router=127.0.0.1:{self.ports[router].front}",
            f"--key-file={self.folder / 'upstreams.key'}",
            *options,
        ]
        self._launch(name, command)

    def _launch(self, name, command):
        process = Process(name, command, self.folder / f"{name}.log")
        self.processes[name] = process
        process.start()
