"""Stand-ins of engines, clients, operator and platform, and the start of the project's programs.

The settings are those of armor-chaines: 5 controllers and 7 routers in 3 zones, and its bounds.

Only the standard library is used. All addresses are loopback addresses of one random network
127.A.B.0/24, so that runs beside each other do not meet. Times in the record are seconds since
the start of the script.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EXIT_HELD, EXIT_BROKEN, EXIT_COULD_NOT_RUN = 0, 1, 2
HOST = "shop.example"
KEY = "key-1"
TENANT = "bakery"
CONTROL_PORT, FRONTEND_PORT, READINESS_PORT, INTERNAL_PORT = 8229, 8227, 8220, 7340
ENGINE_PORT = 8080
ZONES = ("brest-a", "quimper-b", "morlaix-c")
METRICS_PORT = 9464


class CouldNotRunError(Exception):
    """The case could not be played; the reason goes into the record."""


def find_network():
    """Return the first three bytes of a loopback network on which no port of a case is in use."""
    for _ in range(50):
        network = f"127.{random.randint(60, 250)}.{random.randint(1, 250)}"
        try:
            for host in (11, 31, 101):
                for port in (CONTROL_PORT, FRONTEND_PORT, INTERNAL_PORT, METRICS_PORT, ENGINE_PORT):
                    with socket.socket() as probe:
                        probe.bind((f"{network}.{host}", port))
        except OSError:
            continue
        return network
    raise CouldNotRunError("no free loopback network")


class World:
    """One run: record, processes, engines.

    :param folder: folder of the case, in which ``record.txt`` is written.
    """

    def __init__(self, folder, controllers=5, routers=7, tolerated=2, heartbeat_ms=1_200):
        self.started_at = time.monotonic()
        self.record_file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.network = find_network()
        self.controllers = [f"{self.network}.{11 + n}" for n in range(controllers)]
        self.routers = [f"{self.network}.{31 + n}" for n in range(routers)]
        self.tolerated = tolerated
        self.heartbeat_ms = heartbeat_ms
        self.processes = {}
        self.engines = []
        self.runs = []
        self.next_engine_host = 101
        self.deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.attempts = 0
        self.is_closing = False

    def now(self):
        return time.monotonic() - self.started_at

    def record(self, text):
        line = f"{self.now():8.3f}  {text}"
        self.record_file.write(line + "\n")
        self.record_file.flush()

    # Processes of the project.

    def make_settings(self, ip, bootstrap):
        """Return the settings of one process, as DEPLOY.md shows them."""
        is_core = ip in self.controllers
        number = (self.controllers if is_core else self.routers).index(ip)
        zone = ZONES[number % len(ZONES)]
        listen = {"frontend": f"{ip}:{FRONTEND_PORT}", "readiness": f"{ip}:{READINESS_PORT}"}
        if is_core:
            listen = {"control_plane": f"{ip}:{CONTROL_PORT}"}
        kind = "core" if is_core else "edge"
        bounds = {
            "seed_staleness_s": 3, "address_reuse_s": 2, "contact_timeout_ms": 3000,
            "ack_timeout_ms": 4000, "catch_up_s": 4, "drain_timeout_ms": 2000,
            "grace_period_s": 8, "loss_tolerance_ms": 200, "config_apply_ms": 2000,
            "regression_window_ms": 250, "max_skew_ms": 5000, "strict_revocation": False,
            "revocation_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10,
            "budget_slack": 54, "warmup_factor": 1.5, "warmup_tolerance": 5,
            "evacuation_ms": 5000, "recovery_s": 12, "delivery_delay_ms": 120,
            "reuse_window_s": 10, "capacity_factor": 2,
        }
        return {
            "node_name": f"{kind}-{number + 1}", "role": f"my-{kind}", "machine_class": kind,
            "serves": ["control" if is_core else "edge"], "ip": ip, "zone": zone,
            "region": "bzh-ouest", "zones": dict.fromkeys(ZONES, "bzh-ouest"),
            "listen_addresses": listen,
            "internal_port_range": [INTERNAL_PORT, INTERNAL_PORT + 15],
            "seed_nodes": [f"{seed}:{CONTROL_PORT}" for seed in self.controllers[:3]],
            "bootstrap": bootstrap, "failure_domain_member": is_core,
            "limits": {"cpu_fraction": 0.5, "cpu_cores": 1, "memory_mb": 300, "max_fds": 4096,
                       "bandwidth_mbps": 1000.0, "disk_mb": 128 if is_core else 0},
            "data_dir": str(self.folder / f"data-{ip}") if is_core else None,
            "discovery": "registration", "entry_point": "anycast",
            "heartbeat_interval_ms": self.heartbeat_ms, "invariants": ["base"],
            "fault_tolerance": {"machine_failures": self.tolerated, "zones": 1,
                                "region_failures": 0},
            "bounds": bounds, "config_mode": "highest",
        }  # fmt: skip

    def write_settings(self, ip, bootstrap=False, **changes):
        path = self.folder / f"{ip}.json"
        settings = {**self.make_settings(ip, bootstrap), **changes}
        temporary = path.with_suffix(".new")
        temporary.write_text(json.dumps(settings))
        temporary.rename(path)
        return path

    def start(self, ip, bootstrap=False):
        """Start a process with the command of the deploy file."""
        is_core = ip in self.controllers
        path = self.write_settings(ip, bootstrap)
        if is_core:
            (self.folder / f"data-{ip}").mkdir(exist_ok=True)
        command = self.deploy["roles"]["controller" if is_core else "router"]["run"].split()
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["SASSAFRASHOOK_NODE_FILE"] = str(path)
        with open(self.folder / f"{ip}.log", "ab") as log:
            process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL,
            )  # fmt: skip
        self.processes[ip] = process
        self.record(f"platform: {' '.join(command)} starts on {ip}, pid {process.pid}")
        return process

    def send_signal(self, ip, number):
        self.record(f"platform: {signal.Signals(number).name} to {ip}")
        self.processes[ip].send_signal(number)

    def read_log(self, ip):
        return (self.folder / f"{ip}.log").read_text(errors="replace")

    def find_leader(self):
        """Return the controller that took the lead last, from the logs of the controllers."""
        best = (0, "")
        for ip in self.controllers:
            for line in self.read_log(ip).splitlines():
                if "event=role_changed" in line and "role=leader" in line:
                    term = int(line.split("term=")[1].split()[0])
                    best = max(best, (term, ip))
        return best[1]

    async def start_fleet(self, configuration):
        """Start all processes and have the first configuration acknowledged."""
        if not (ROOT / "target" / "deps").is_dir():
            raise CouldNotRunError("target/deps is missing: run the build of the deploy file")
        for ip in (*self.controllers, *self.routers):
            self.start(ip, bootstrap=True)
        await self.put_configuration(configuration, 40)
        for ip in self.routers:
            await self.wait(lambda ip=ip: self.is_ready(ip), 30, f"{ip} is ready")

    async def is_ready(self, ip):
        answer = await exchange(ip, READINESS_PORT, "GET", "/readyz", {}, b"", 1.0)
        return answer.status == 200

    async def wait(self, condition, timeout_s, text):
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if await condition():
                return
            await asyncio.sleep(0.1)
        raise CouldNotRunError(f"not reached: {text}")

    # The operator.

    async def call_control(self, ip, method, path, body=b"", timeout_s=1.0):
        """Send an order to one node and follow a 307 twice."""
        for _ in range(3):
            answer = await exchange(ip, CONTROL_PORT, method, path, {}, body, timeout_s)
            if answer.status != 307:
                return answer
            ip = answer.headers["location"].split("//")[1].split(":")[0]
        return answer

    async def order(self, method, path, body=b"", timeout_s=20, nodes=None):
        """Send an order to one node after another until it has a 2xx."""
        deadline = time.monotonic() + timeout_s
        nodes = list(nodes or self.controllers)
        while time.monotonic() < deadline:
            for ip in nodes:
                answer = await self.call_control(ip, method, path, body)
                if answer.status:
                    self.record(f"operator: {method} {path} at {ip} -> {answer.status}")
                if 200 <= answer.status < 300 or answer.status in (400, 409, 412, 413, 422):
                    return answer
                await asyncio.sleep(0.1)
        raise CouldNotRunError(f"{method} {path} has no acknowledgement")

    async def put_configuration(self, configuration, timeout_s=20, nodes=None):
        body = json.dumps(configuration).encode()
        answer = await self.order("PUT", "/config", body, timeout_s, nodes)
        self.record(f"operator: version {configuration['version']} has {answer.status}")
        return answer

    def close(self):
        """End all processes of the run."""
        self.is_closing = True
        for ip, process in self.processes.items():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        keep = os.environ.get("REVIEW_KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record_file.close()


class Answer:
    """What a client has seen of one call.

    :ivar status: 0 without the head of an answer.
    :ivar is_complete: whether the body ended as its framing says.
    """

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_complete = False
        self.error = ""
        self.attempt_id = ""

    def list_events(self):
        """Return (id, data) of each whole event."""
        events = []
        for block in self.body.split(b"\n\n")[:-1]:
            fields = dict(line.split(b": ", 1) for line in block.split(b"\n") if b": " in line)
            if b"id" in fields:
                events.append((int(fields[b"id"]), fields.get(b"data", b"").decode()))
        return events


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunks(reader, take):
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        take(data[:-2])


async def exchange(ip, port, method, path, headers, body, timeout_s, answer=None):
    """Send one request on a new channel and read the whole answer."""
    answer = answer or Answer()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            fields = {"Host": HOST, **headers}
            if body or method in ("PUT", "POST"):
                fields["Content-Length"] = str(len(body))
            if body and port == CONTROL_PORT:
                fields["Content-Type"] = "application/json"
            text = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
            writer.write(f"{method} {path} HTTP/1.1\r\n{text}\r\n".encode("latin-1") + body)
            first, answer.headers = await read_head(reader)
            answer.status = int(first.split()[1])

            def take(data):
                answer.body += data

            if "chunked" in answer.headers.get("transfer-encoding", ""):
                await read_chunks(reader, take)
            elif "content-length" in answer.headers:
                take(await reader.readexactly(int(answer.headers["content-length"])))
            else:
                take(await reader.read())
            answer.is_complete = True
    except (OSError, asyncio.IncompleteReadError, ValueError, TimeoutError) as error:
        answer.error = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    return answer


async def send(world, router, method, path, headers=None, body=b"", deadline_ms=3_000):
    """Send a client's request to a router; one attempt with its own id."""
    world.attempts += 1
    answer = Answer()
    answer.attempt_id = f"{random.getrandbits(64):016x}"
    fields = {
        "X-Sassafrashook-Attempt-Id": answer.attempt_id,
        "X-Sassafrashook-Deadline-Ms": str(deadline_ms),
        "X-Sassafrashook-Credential": KEY,
        **(headers or {}),
    }
    world.record(f"client: {answer.attempt_id} {method} {path} {headers or ''} to {router}")
    await exchange(
        router, FRONTEND_PORT, method, path, fields, body, deadline_ms / 1_000, answer
    )
    events = [text for _, text in answer.list_events()]
    shown = " ".join(events) if events else repr(answer.body[:60])
    world.record(
        f"client: {answer.attempt_id} <- {answer.status}, "
        f"{'whole' if answer.is_complete else 'cut off ' + answer.error}: {shown}"
    )
    return answer


class Engine:
    """An engine of a service: serves requests and reports that it is alive.

    :param plan: called with (engine, headers, path); returns a dict that may hold ``events`` (number
        of events of a stream), ``gap_s``, ``cut_after`` (number of events after which it breaks its
        channel), ``is_framed`` (false for an answer without a length, which ends with its channel),
        or ``work_s`` and ``status`` of a plain answer.
    """

    def __init__(
        self, world, name, service, plan=None, version="v1", slots=16, zone=None, port=ENGINE_PORT
    ):
        self.world = world
        self.name = name
        self.service = service
        self.version = version
        self.slots = slots
        self.port = port
        self.plan = plan or (lambda engine, headers, path: {})
        self.ip = f"{world.network}.{world.next_engine_host}"
        world.next_engine_host += 1
        self.zone = zone or ZONES[len(world.engines) % len(ZONES)]
        self.nodes = list(world.controllers)
        self.server = None
        self.writers = set()
        self.beats = None
        self.running = 0
        self.sequence = 0
        self.is_cut_off = False
        world.engines.append(self)

    async def start(self, reports=True):
        """Begin a new boot at the same address."""
        self.born = time.time_ns() // 1_000_000
        self.sequence = 0
        self.state = "ready"
        self.server = await asyncio.start_server(self._serve, self.ip, self.port)
        self.world.record(f"engine {self.name} ({self.service} {self.version}) starts, born {self.born}")
        if reports:
            self.beats = asyncio.create_task(self._report())

    def crash(self):
        """End at once: all channels break and nothing is said."""
        self.world.record(f"engine {self.name} crashes")
        self.close()

    def close(self):
        if self.beats is not None:
            self.beats.cancel()
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    # Liveness reports.

    async def _report(self):
        while True:
            await self.report()
            await asyncio.sleep(self.world.heartbeat_ms / 1_000)

    async def report(self, state=None):
        """Send one liveness report to one node after another until it is acknowledged."""
        self.state = state or self.state
        self.sequence += 1
        body = json.dumps({
            "service": self.service, "address": f"{self.ip}:{ENGINE_PORT}", "zone": self.zone,
            "version": self.version, "slots": self.slots, "state": self.state,
            "warmup_remaining_ms": 0, "phase": "unified",
            "model_list": [{"name": "m", "version": 1, "adapter_list": []}],
            "sequence": self.sequence, "born": self.born,
        }).encode()  # fmt: skip
        return await self.call("PUT", body)

    async def call(self, method, body=b"", nodes=None):
        """Call one node after another; the next one after a second without an answer."""
        for ip in nodes or random.sample(self.nodes, len(self.nodes)):
            if self.is_cut_off:
                await asyncio.sleep(1.0)
                continue
            answer = await exchange(
                ip, CONTROL_PORT, method, f"/instances/{self.name}", {}, body, 1.0
            )
            if method != "PUT" or answer.status != 200 or self.sequence == 1:
                self.world.record(
                    f"engine {self.name}: {method} {self.state} {self.sequence} at {ip}"
                    f" -> {answer.status or 'no answer within a second'}"
                )
            if 200 <= answer.status < 300:
                return True
        return False

    # Requests.

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader, writer):
        first, headers = await read_head(reader)
        method, path, _ = first.split(" ")
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        attempt = headers.get("x-sassafrashook-attempt-id", "")
        refusal = None
        if headers.get("x-sassafrashook-expect-instance", self.name) != self.name:
            refusal = 421
        elif not attempt:
            refusal = 400
        elif self.running >= self.slots:
            refusal = 503
        else:
            refusal = self.get_rejection(headers)
        if refusal is not None:
            self.world.record(f"engine {self.name} rejects {attempt} with {refusal}")
            await self._answer(writer, refusal, attempt, b"", not_run=True)
            return True
        self.running += 1
        begun = self.world.now()
        self.world.runs.append((begun, attempt, self, method, path, headers, body))
        self.world.record(
            f"engine {self.name} ({self.service} {self.version}) runs {attempt} {method} {path}"
            f" last-event-id {headers.get('last-event-id', '-')}"
        )
        try:
            return await self._run(writer, headers, path, attempt, body)
        finally:
            self.running -= 1

    def _make_head(self, status, attempt, fields):
        load = f"{self.running},0,{self.slots}"
        lines = [
            f"HTTP/1.1 {status} X", f"X-Sassafrashook-Attempt-Id: {attempt}",
            f"X-Sassafrashook-Instance-Load: {load}", "Keep-Alive: timeout=30", *fields,
        ]  # fmt: skip
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    async def _answer(self, writer, status, attempt, body, not_run=False, fields=()):
        fields = [*fields, f"Content-Length: {len(body)}"]
        if not_run:
            fields.append("X-Sassafrashook-Not-Executed: 1")
        writer.write(self._make_head(status, attempt, fields) + body)
        await writer.drain()

    def get_rejection(self, headers):
        """Return the status with which to reject a request without running it, or ``None``."""
        return None

    def plan_answer(self, headers, path):
        return self.plan(self, headers, path)

    async def _run(self, writer, headers, path, attempt, body):
        plan = self.plan_answer(headers, path)
        signature = f"X-Sassafrashook-Response-Signature: {attempt}.{self.name}"
        if "events" not in plan:
            await asyncio.sleep(plan.get("work_s", 0.02))
            text = plan.get("body", f"{attempt} by {self.name}".encode())
            fields = [signature, *plan.get("fields", ())]
            await self._answer(writer, plan.get("status", 200), attempt, text, fields=fields)
            return True
        is_framed = plan.get("is_framed", True)
        fields = [
            signature, "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked" if is_framed else "Connection: close",
            "X-Sassafrashook-Weight-Versions: 1",
        ]  # fmt: skip
        writer.write(self._make_head(200, attempt, fields))
        after = int(headers.get("last-event-id", 0))
        for number in range(after + 1, plan["events"] + 1):
            await asyncio.sleep(plan.get("gap_s", 0.05))
            if writer.is_closing():
                return False
            event = f"id: {number}\ndata: {number}:{self.service}/{self.version}/{self.name}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event) if is_framed else event)
            await writer.drain()
            if plan.get("cut_after") == number:
                self.world.record(f"engine {self.name} breaks the channel of {attempt} off")
                writer.transport.abort()
                return False
        writer.write(b"0\r\n\r\n" if is_framed else b"")
        await writer.drain()
        return is_framed


class Relay:
    """A TCP relay in front of an engine, which can cut it off from all machines.

    While it is cut, nothing passes: what was sent is held up, and so is the end of a channel, and
    new channels are refused. Afterwards what was held up arrives, as DEPLOY.md says of a partition
    whose sender has not reset the channel.
    """

    def __init__(self, world, ip, port, target_port):
        self.world = world
        self.address = (ip, port)
        self.target = (ip, target_port)
        self.is_open = asyncio.Event()
        self.is_open.set()
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._relay, *self.address)

    async def cut(self):
        self.world.record(f"the engine at {self.address[0]} is cut off from all machines")
        self.is_open.clear()
        self.server.close()

    async def heal(self):
        self.world.record(f"the engine at {self.address[0]} is reached again")
        await self.start()
        self.is_open.set()

    def close(self):
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _relay(self, reader, writer):
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, upstream_writer}
        try:
            await asyncio.gather(
                self._copy(reader, upstream_writer), self._copy(upstream_reader, writer)
            )
        finally:
            self.writers -= {writer, upstream_writer}
            writer.close()
            upstream_writer.close()

    async def _copy(self, reader, writer):
        try:
            while data := await reader.read(65_536):
                await self.is_open.wait()
                writer.write(data)
                await writer.drain()
            await self.is_open.wait()
            if writer.can_write_eof():
                writer.write_eof()
        except OSError:
            await self.is_open.wait()
            writer.transport.abort()


def make_route(name, prefix, kind, service, timeout_ms=10_000, **fields):
    """Return a route of the desired state; ``service`` may be a list of (service, weight)."""
    route = {
        "name": name, "host": HOST, "path_prefix": prefix, "kind": kind,
        "timeout_ms": timeout_ms, "target_latency_ms": 500, "priority": 1, "max_attempts": 2,
        "anonymous": False, "session_affinity": False, "stream_resumption": False,
        "target_itl_ms": 500 if kind == "streaming" else 0, **fields,
    }  # fmt: skip
    if isinstance(service, str):
        route["service"] = service
    else:
        route["traffic_split"] = [{"service": s, "weight": w} for s, w in service]
    return route


def make_configuration(version, routes, services):
    return {
        "version": version,
        "route_table": routes,
        "services": [
            {"name": name, "health_path": "/healthz", "max_connections": 100, "protocol": "h1",
             "tls": False, "warmup_s": 0.0, "warmup_per_s": 0.0} for name in services
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }  # fmt: skip


async def play_to_end(world, play):
    """Play a case, and end its engines and tasks while the event loop runs."""
    try:
        return await asyncio.wait_for(play(world), 110)
    finally:
        world.is_closing = True
        for engine in world.engines:
            engine.close()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
        await asyncio.sleep(0.1)


def run_case(folder, play, **options):
    """Play a case and exit: ``play`` returns the list of what broke the rule."""
    code = EXIT_COULD_NOT_RUN
    try:
        world = World(folder, **options)
    except (CouldNotRunError, OSError) as error:
        print(f"could not run: {error}")
        sys.exit(code)
    try:
        broken = asyncio.run(play_to_end(world, play))
        for line in broken:
            world.record(f"BROKEN: {line}")
            print(f"broken: {line}")
        code = EXIT_BROKEN if broken else EXIT_HELD
        world.record(f"result: {'the rule was broken' if broken else 'the rule held'}")
    except CouldNotRunError as error:
        world.record(f"the case could not run: {error}")
        print(f"could not run: {error}")
    except TimeoutError:
        world.record("the case could not run: time is over")
        print("could not run: time is over")
    except Exception:
        world.record(f"the case could not run: {traceback.format_exc()}")
        traceback.print_exc()
    finally:
        world.close()
    sys.exit(code)
