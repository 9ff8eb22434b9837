"""Starts and controls a fleet of separate processes on loopback, for tests and the demo."""

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
# Below the ports that the operating system assigns to outgoing connections.
PORT_RANGE = (20_000, 30_000)
START_TIMEOUT_S = 30
EXIT_TIMEOUT_S = 40
POLL_INTERVAL_S = 0.05
REQUEST_TIMEOUT_S = 30
COMMAND_TIMEOUT_S = 20
ORDER_DEADLINE_MS = 20_000
MAX_LOG_CHARACTERS = 2_000
CALLER_KEYS = {"muscat-central": "caller-key-muscat", "sohar": "caller-key-sohar-0"}
UPSTREAM_KEY = "upstream-key-0123456789"
OPERATOR_KEY = "operator-key-0123456789"


class ExpectationError(Exception):
    """Raised if an expected result or condition does not occur."""


class PortAllocator:
    """Allocates free ports on loopback.

    The process id decides where the search starts, so that test runs side by side rarely collide.

    :ivar last_port_: the port checked last; the search continues after it.
    """

    def __init__(self):
        low, high = PORT_RANGE
        self.last_port_ = low + os.getpid() * 37 % (high - low)

    def allocate(self):
        """Return a port that is free at this moment."""
        low, high = PORT_RANGE
        while True:
            self.last_port_ = low + (self.last_port_ + 1 - low) % (high - low)
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind(("127.0.0.1", self.last_port_))
                except OSError:
                    continue
            return self.last_port_


@dataclass(slots=True)
class Process:
    """A process of the fleet.

    :param name: name of the process in the fleet.
    :param command: command line that starts it.
    :param log_file: path of the file that its output is appended to.
    :param popen: the started process, or ``None`` before the start.
    """

    name: str
    command: list
    log_file: Path
    popen: subprocess.Popen | None = None

    def start(self):
        """Start the process."""
        with open(self.log_file, "ab") as output:
            self.popen = subprocess.Popen(self.command, cwd=ROOT, stdout=output, stderr=output)

    def send_signal(self, number):
        """Send a signal to the process."""
        self.popen.send_signal(number)

    def kill(self):
        """Kill the process and reap it."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.kill()
            self.popen.wait()

    def wait(self, deadline):
        """Wait for the process to exit.

        :param deadline: monotonic time, seconds.
        :returns: the exit code, or ``None`` if it still runs at the deadline.
        """
        while self.popen.poll() is None and time.monotonic() < deadline:
            gevent.sleep(POLL_INTERVAL_S)
        return self.popen.poll()


@dataclass(slots=True)
class Response:
    """A complete HTTP response as a caller receives it.

    :param status: status code, 0 if the server could not be reached.
    :param headers: values by name in lower case.
    :param body: the whole body.
    :param event_count: number of server-sent events with a JSON object, without the end marker; set
        only by :meth:`Fleet.send_chat`, otherwise 0.
    :param upstream_id: id of the upstream that served the request, or an empty string.
    """

    status: int
    headers: dict
    body: bytes
    event_count: int = 0
    upstream_id: str = ""

    @property
    def has_end_marker(self):
        """Whether the stream contains the end marker."""
        return b"data: [DONE]" in self.body.split(b"\n\n")

    @property
    def has_error(self):
        """Whether the stream contains an error event."""
        return b"\n\nevent: error\n" in b"\n\n" + self.body

    def decode_text(self):
        """Return the text that the events of a stream carry."""
        parts = [part[6:] for part in self.body.split(b"\n\n") if part.startswith(b"data: {")]
        return "".join(json.loads(part)["choices"][0]["delta"]["content"] for part in parts)

    def decode_error(self):
        """Return the fields of the error, such as ``verdict`` and ``reason``; empty without one."""
        data = self.body.rpartition(b"data: ")[2] if self.has_error else self.body
        try:
            return json.loads(data)["error"]
        except (ValueError, KeyError, TypeError):
            return {}


@dataclass(slots=True)
class Ports:
    """Ports of one process.

    :param peer: port for message connections between controllers and routers.
    :param service: port that serves the callers of a router, the operators of a controller, or the
        requests to an upstream.
    :param metrics: port for metrics.
    """

    peer: int
    service: int
    metrics: int


@dataclass(slots=True)
class FleetSize:
    """Number of processes of each role.

    :param controllers: number of controllers.
    :param routers: number of routers.
    :param engines: number of fake engines.
    :param engine_options: command line options of every engine.
    """

    controllers: int = 3
    routers: int = 3
    engines: int = 3
    engine_options: list = field(default_factory=list)


class Fleet:
    """Controllers, routers, fake engines and a fake ledger as separate processes.

    As a context manager it kills all processes and removes their files at the end.

    :param size: a :class:`FleetSize`, by default three of each role.
    :param tls: folder written by :func:`fakes.certificates.write_certificates`, or ``None``.
    :param program: command line prefix that runs sassafrashook.
    :param proxied: names of the controllers and routers whose streams to and from their peers pass
        through fault proxies.

    :ivar folder: temporary folder of settings, keys, logs and data.
    :ivar ports: :class:`Ports` by process name.
    :ivar processes_: started processes by name.
    :ivar proxies_: fault proxies by pair of names, of the connecting and the accepting process.
    """

    def __init__(
        self,
        size=None,
        tls=None,
        program=(sys.executable, "-m", "sassafrashook"),
        proxied=(),
    ):
        self.size = size or FleetSize()
        self.tls = tls
        self.program = list(program)
        self.folder = Path(tempfile.mkdtemp(prefix="fleet-"))
        self.zones = ZONES
        self.proxied = set(proxied)
        self.proxies_ = {}
        self.processes_ = {}
        self.ports = {}
        self.controllers = [f"controller-{n + 1}" for n in range(self.size.controllers)]
        self.routers = [f"router-{n + 1}" for n in range(self.size.routers)]
        self.engines = [f"engine-{n + 1}" for n in range(self.size.engines)]
        self.configuration_file = str(ROOT / "examples" / "trust" / "configuration.yaml")
        allocator = PortAllocator()
        for name in [*self.controllers, *self.routers, *self.engines, "ledger"]:
            self.ports[name] = Ports(
                allocator.allocate(), allocator.allocate(), allocator.allocate()
            )

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes_.values():
            process.kill()
        for proxy in self.proxies_.values():
            proxy.stop()
        shutil.rmtree(self.folder, ignore_errors=True)

    def start(self):
        """Start all processes; controllers and routers first, upstreams once there is a leader."""
        self._write_keys()
        for name in self.controllers:
            self.start_controller(name, bootstrap=True)
        for name in self.routers:
            self.start_router(name)
        self.wait_until(self._can_read_configuration, "a controller leads")
        for index, name in enumerate(self.engines):
            self.start_engine(name, index)
        self.start_ledger()

    def start_serving(self):
        """Start all processes, apply the configuration and wait until all routers serve."""
        self.start()
        self.run_cli_checked("config", "apply", self.configuration_file, "--wait")
        self.wait_for_upstreams()

    def restart(self, name):
        """Start an ended controller or router again; if it is a router, wait until it serves."""
        if name in self.controllers:
            self.start_controller(name)
            return
        self.start_router(name)
        self.wait_until(lambda: self.is_serving(name), f"{name} serves")

    def start_controller(self, name, bootstrap=False):
        """Start a controller.

        :param bootstrap: whether it may found the consensus group.
        """
        role_settings = {
            "operator_endpoint": self._make_endpoint(self.ports[name].service),
            "data_folder": str(self.folder / name),
            "bootstrap": bootstrap,
        }
        self._start_node("controller", name, role_settings)

    def start_router(self, name):
        """Start a router."""
        role_settings = {
            "caller_endpoint": self._make_endpoint(self.ports[name].service),
            "balancer_interval_ms": 300,
        }
        self._start_node("router", name, role_settings)

    def start_engine(self, name, index, *options):
        """Start a fake engine that announces itself to one router.

        :param index: selects the router and the availability zone.
        :param options: more command line options.
        """
        options = [*self.size.engine_options, "--model=advisor", *options]
        self._start_upstream("engine", name, "stock-advisory", index, options)

    def start_ledger(self, *options):
        """Start the fake ledger, with more command line options."""
        self._start_upstream("ledger", "ledger", "stock-ledger", 1, options)

    def wait_until(self, condition, description, timeout_s=START_TIMEOUT_S):
        """Wait until a condition holds.

        :param condition: callable that returns a true value once it holds.
        :param description: what is waited for, for the error message.
        :param timeout_s: maximum time to wait, seconds.
        :returns: the true value.
        :raises ExpectationError: if the condition does not hold in time.
        """
        deadline = time.monotonic() + timeout_s
        while True:
            value = condition()
            if value:
                return value
            if time.monotonic() >= deadline:
                raise ExpectationError(f"timed out after {timeout_s} s waiting for: {description}")
            gevent.sleep(POLL_INTERVAL_S)

    def wait_for_upstreams(self):
        """Wait until ``upstream list`` shows every upstream and every router serves.

        :returns: ids of the listed upstreams.
        """
        expected = {*self.engines, "ledger"}

        def list_if_complete():
            names = {entry["upstream_id"] for entry in self.list_upstreams()}
            return names if names >= expected else None

        names = self.wait_until(list_if_complete, f"upstreams {sorted(expected)}")
        self.wait_until(
            lambda: all(self.is_serving(name) for name in self.routers), "all routers serve"
        )
        return names

    def list_upstreams(self):
        """Return the entries of ``upstream list``; empty if the command fails."""
        result = self.run_cli("upstream", "list", "--json")
        return json.loads(result.stdout)["upstreams"] if result.returncode == 0 else []

    def is_serving(self, router):
        """Return whether a router's health check succeeds."""
        return self.get(self.ports[router].service, "/healthz").status == 200

    def run_cli_checked(self, *arguments):
        """Run an operator command on the command line.

        :param arguments: arguments of the command line.
        :returns: the output, without surrounding whitespace.
        :raises ExpectationError: if the command fails.
        """
        result = self.run_cli(*arguments)
        if result.returncode != 0:
            raise ExpectationError(
                f"{' '.join(arguments)}: exit code {result.returncode}: {result.stderr.strip()}"
            )
        return result.stdout.strip()

    def send_command(
        self,
        method,
        path,
        body=None,
        command_id=None,
        controllers=None,
        timeout_s=COMMAND_TIMEOUT_S,
    ):
        """Send an operator command to the controllers, without the command line.

        :param command_id: id that makes retries of a change idempotent, or ``None``.
        :param controllers: names of the controllers to send it to, by default all.
        :param timeout_s: maximum time for all attempts, seconds.
        :returns: ``Success`` of an ``OperatorResponse`` or ``Failure`` of an ``OperatorError``.
        """
        names = controllers or self.controllers
        addresses = [ControllerAddress("127.0.0.1", self.ports[name].service) for name in names]
        deadline = time.monotonic() + timeout_s
        return OperatorClient(addresses, OPERATOR_KEY, deadline).call(
            method, path, body, command_id
        )

    def wait_for_leader(self):
        """Wait until a controller leads; return its name."""
        return self.wait_until(self._find_leader, "a controller leads")

    def _find_leader(self):
        for name in self.controllers:
            if self.read_status(name).get("leading"):
                return name
        return None

    def read_status(self, name):
        """Return the status that a controller reports; empty if it does not respond."""
        client = HTTPClient(
            "127.0.0.1", self.ports[name].service, connection_timeout=1, network_timeout=1
        )
        try:
            headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
            return json.loads(client.get("/v1/status", headers=headers).read())
        except (OSError, ValueError):
            return {}
        finally:
            client.close()

    def run_cli(self, *arguments, controllers=None):
        """Run an operator command on the command line.

        :param arguments: arguments of the command line.
        :param controllers: names of the controllers to send it to, by default all.
        :returns: the ``CompletedProcess``.
        """
        names = controllers or self.controllers
        addresses = ",".join(f"127.0.0.1:{self.ports[name].service}" for name in names)
        command = [
            *(
                *self.program,
                *(str(argument) for argument in arguments),
                f"--controllers={addresses}",
            ),
            f"--key_file={self.folder / 'operator.key'}",
        ]
        return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)

    def send_chat(self, router=0, conversation="chat", turns=("hello",), account=None, **fields):
        """Send a streamed chat and read the response to its end.

        :param router: index of the router.
        :param turns: the user's messages.
        :param account: client account that sends it, by default the first one.
        :param fields: more fields of the request body.
        :returns: the :class:`Response`.
        :raises ExpectationError: if the response is an error or incomplete.
        """
        messages = [{"role": "user", "content": turn} for turn in turns]
        body = {"model": "advisor", "stream": True, "messages": messages, **fields}
        headers = {"X-Conversation-Id": conversation, "Content-Type": "application/json"}
        response = self.send_request(router, "POST", "/v1/chat/completions", headers, body, account)
        response.event_count = response.body.count(b"data: {")
        if response.status != 200 or not response.has_end_marker:
            raise ExpectationError(
                f"chat failed: status {response.status}: {response.body[-300:]!r}"
            )
        return response

    def send_order(self, router, key, body, deadline_ms=ORDER_DEADLINE_MS, account=None):
        """Send an order to the ledger.

        :param router: index of the router.
        :param key: idempotency key.
        :param deadline_ms: time to the deadline, milliseconds.
        :param account: client account that sends it, by default the first one.
        :returns: the :class:`Response`, which may be an error.
        """
        headers = {
            "Idempotency-Key": key,
            "X-Deadline": str(int(time.time() * 1000) + deadline_ms),
            "Content-Type": "application/json",
        }
        return self.send_request(router, "POST", "/ledger/orders", headers, body, account)

    def send_request(self, router, method, path, headers, body, account=None):
        """Send a request to a router and read the whole response.

        :param router: index of the router.
        :param body: ``bytes``, or a value to be encoded as JSON.
        :param account: client account that sends it, by default the first one.
        :returns: the :class:`Response`.
        """
        account = account or next(iter(CALLER_KEYS))
        headers = {**headers, "Authorization": f"Bearer {CALLER_KEYS[account]}"}
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        port = self.ports[self.routers[router]].service
        client = HTTPClient(
            "127.0.0.1",
            port,
            connection_timeout=REQUEST_TIMEOUT_S,
            network_timeout=REQUEST_TIMEOUT_S,
        )
        try:
            response = client.request(method, path, body=data, headers=headers)
            content = bytes(response.read())
            response_headers = {name.lower(): value for name, value in response.headers}
            upstream_id = response_headers.get("x-upstream-id", "")
            return Response(
                response.status_code, response_headers, content, upstream_id=upstream_id
            )
        finally:
            client.close()

    def get(self, port, path):
        """Get a path of any process; the status is 0 if it can't be reached."""
        client = HTTPClient("127.0.0.1", port, connection_timeout=2, network_timeout=2)
        try:
            response = client.get(path)
            return Response(response.status_code, {}, bytes(response.read()))
        except OSError:
            return Response(0, {}, b"")
        finally:
            client.close()

    def read_records(self, upstream):
        """Return what a fake upstream serves at ``/debug/records``."""
        return json.loads(self.get(self.ports[upstream].service, "/debug/records").body)

    def count_executions(self, key):
        """Return how often the ledger executed the order with an idempotency key."""
        return self.read_records("ledger")["executions"].get(key, 0)

    def list_zone_engines(self, zone):
        """Return the names of the engines in an availability zone, a set."""
        zone_index = self.zones.index(zone)
        return {name for n, name in enumerate(self.engines) if n % len(self.zones) == zone_index}

    def stop(self):
        """Stop all processes gracefully: upstreams, then routers, then controllers.

        :returns: exit codes by name; ``None`` for a process that still runs.
        """
        exit_codes = {}
        for names in (["ledger", *self.engines], self.routers, self.controllers):
            running = [name for name in names if name in self.processes_]
            for name in running:
                self.processes_[name].send_signal(signal.SIGTERM)
            deadline = time.monotonic() + EXIT_TIMEOUT_S
            for name in running:
                exit_codes[name] = self.processes_[name].wait(deadline)
        return exit_codes

    def print_logs(self):
        """Print the end of each process's output."""
        for process in self.processes_.values():
            text = process.log_file.read_text(errors="replace")[-MAX_LOG_CHARACTERS:]
            print(f"--- {process.name}\n{text}", flush=True)

    def _can_read_configuration(self):
        return self.run_cli("config", "show").returncode == 0

    def _make_endpoint(self, port):
        return {"host": "127.0.0.1", "port": port}

    def _make_peer_entries(self, source, names):
        return [
            {"name": name, "host": "127.0.0.1", "port": self._find_peer_port(source, name)}
            for name in names
        ]

    def _find_peer_port(self, source, name):
        """Return the port at which one process reaches another: its own or that of a proxy."""
        port = self.ports[name].peer
        if source == name or not {source, name} & self.proxied:
            return port
        key = (source, name)
        if key not in self.proxies_:
            self.proxies_[key] = FaultProxy(("127.0.0.1", port)).start()
        return self.proxies_[key].address[1]

    def find_proxies(self, name):
        """Return the fault proxies of the connections to and from a process."""
        return [proxy for key, proxy in self.proxies_.items() if name in key]

    def _write_keys(self):
        (self.folder / "callers.yaml").write_text(yaml.safe_dump(CALLER_KEYS))
        (self.folder / "upstreams.key").write_text(UPSTREAM_KEY)
        (self.folder / "operators.yaml").write_text(yaml.safe_dump({"operator": OPERATOR_KEY}))
        (self.folder / "operator.key").write_text(OPERATOR_KEY)

    def _start_node(self, role, name, role_settings):
        """Write the settings of a controller or router and start it."""
        keys = {"upstreams": str(self.folder / "upstreams.key")}
        if role == "router":
            keys["callers"] = str(self.folder / "callers.yaml")
        else:
            keys["operators"] = str(self.folder / "operators.yaml")
        index = int(name.rsplit("-", 1)[1]) - 1
        settings = {
            "name": name,
            "availability_zone": self.zones[index % len(self.zones)],
            "peer_endpoint": self._make_endpoint(self.ports[name].peer),
            "metrics_endpoint": self._make_endpoint(self.ports[name].metrics),
            "controllers": self._make_peer_entries(name, self.controllers),
            "routers": self._make_peer_entries(name, self.routers),
            "keys": keys,
            **role_settings,
        }
        if self.tls is not None:
            settings["tls"] = {
                "certificate": str(Path(self.tls) / f"{name}.crt"),
                "key": str(Path(self.tls) / f"{name}.key"),
                "authority": str(Path(self.tls) / "authority.crt"),
            }
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        self._start_process(name, [*self.program, role, "run", str(path)])

    def _start_upstream(self, module, name, service, index, options):
        router = self.routers[index % len(self.routers)]
        command = [
            *(sys.executable, "-m", f"fakes.{module}", f"--id={name}", f"--service={service}"),
            *(
                f"--zone={self.zones[index % len(self.zones)]}",
                f"--port={self.ports[name].service}",
            ),
            f"--router=127.0.0.1:{self.ports[router].service}",
            f"--key-file={self.folder / 'upstreams.key'}",
            *options,
        ]
        self._start_process(name, command)

    def _start_process(self, name, command):
        process = Process(name, command, self.folder / f"{name}.log")
        self.processes_[name] = process
        process.start()
