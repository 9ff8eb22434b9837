"""Starts the project's programs on loopback addresses, with the commands of the deploy file.

Part of the cases of the second review. Uses the standard library only.
"""

import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
METRICS_PORT = 9464  # of the deploy file
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
# As `fleetbench wire` prints them for the site armor-chaines.
BOUNDS = {
    "seed_staleness_s": 3, "address_reuse_s": 2, "contact_timeout_ms": 3000,
    "ack_timeout_ms": 4000, "catch_up_s": 4, "drain_timeout_ms": 2000, "grace_period_s": 8,
    "loss_tolerance_ms": 200, "config_apply_ms": 2000, "regression_window_ms": 250,
    "max_skew_ms": 5000, "strict_revocation": False, "revocation_ms": 5000,
    "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 54, "warmup_factor": 1.5,
    "warmup_tolerance": 5, "evacuation_ms": 5000, "recovery_s": 12, "delivery_delay_ms": 120,
    "reuse_window_s": 10, "capacity_factor": 2,
}  # fmt: skip
ZONES = ("brest-a", "quimper-b", "morlaix-c")
REGION = "bzh-ouest"
HEARTBEAT_MS = 1200
ROLES = {"edge": "router", "core": "controller"}


class NotRun(Exception):
    """The case could not be run; says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to a file, with the time since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._started_at = time.monotonic()
        self._lock = threading.Lock()

    def now(self):
        return time.monotonic() - self._started_at

    def write(self, text):
        with self._lock:
            self._file.write(f"{self.now():8.3f} {text}\n")
            self._file.flush()


def find_free_port(hosts, low=20_000, high=29_000, count=1):
    """Return the first of ``count`` consecutive ports that are free on all the hosts."""
    for _ in range(200):
        port = random.randrange(low, high)
        try:
            for host in hosts:
                for number in range(port, port + count):
                    with socket.socket() as probe:
                        probe.bind((host, number))
            return port
        except OSError:
            continue
    raise NotRun("no free port")


def pick_network(count):
    """Return ``count`` loopback addresses on which the port of the metrics is free."""
    for _ in range(200):
        prefix = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        hosts = [f"{prefix}.{10 + index}" for index in range(count)]
        try:
            for host in hosts:
                with socket.socket() as probe:
                    probe.bind((host, METRICS_PORT))
            return hosts
        except OSError:
            continue
    raise NotRun("no free loopback addresses")


class Node:
    """One process of the system, on a machine of its own."""

    def __init__(self, deployment, name, kind, host, zone):
        self.deployment, self.name, self.kind = deployment, name, kind
        self.host, self.zone = host, zone
        self.folder = deployment.folder / name
        self.data_folder = self.folder / "data"
        self.settings_path = self.folder / "node.json"
        self.process = None

    @property
    def control(self):
        return self.host, self.deployment.control_port

    @property
    def frontend(self):
        return self.host, self.deployment.frontend_port

    @property
    def readiness(self):
        return self.host, self.deployment.readiness_port

    def write_settings(self, bootstrap):
        deployment = self.deployment
        is_edge = self.kind == "edge"
        addresses = {"control_plane": f"{self.host}:{deployment.control_port}"}
        if is_edge:
            addresses = {
                "frontend": f"{self.host}:{deployment.frontend_port}",
                "readiness": f"{self.host}:{deployment.readiness_port}",
            }
        settings = {
            "node_name": self.name, "role": ROLES[self.kind], "machine_class": self.kind,
            "serves": ["edge" if is_edge else "control"], "ip": self.host, "zone": self.zone,
            "region": REGION, "zones": dict.fromkeys(ZONES, REGION),
            "listen_addresses": addresses,
            "internal_port_range": [deployment.internal_port, deployment.internal_port + 15],
            "seed_nodes": [f"{host}:{deployment.control_port}" for host in deployment.seeds],
            "bootstrap": bootstrap, "failure_domain_member": not is_edge,
            "limits": {
                "cpu_fraction": 0.537, "cpu_cores": 2, "memory_mb": 300, "max_fds": 4096,
                "bandwidth_mbps": 1000.0 if is_edge else 6.0, "disk_mb": 0 if is_edge else 128,
            },
            "data_dir": None if is_edge else str(self.data_folder),
            "discovery": "registration", "entry_point": "anycast",
            "heartbeat_interval_ms": HEARTBEAT_MS, "invariants": ["base", "drain", "config"],
            "fault_tolerance": {"machine_failures": 2, "zones": 1, "region_failures": 0},
            "bounds": BOUNDS, "config_mode": "highest",
        }  # fmt: skip
        self.folder.mkdir(parents=True, exist_ok=True)
        temporary = self.settings_path.with_suffix(".new")
        temporary.write_text(json.dumps(settings))
        temporary.replace(self.settings_path)

    def start(self, bootstrap):
        """Start the process as the platform does, with the command of the deploy file."""
        self.write_settings(bootstrap)
        if self.kind == "core":
            self.data_folder.mkdir(exist_ok=True)
        words = self.deployment.commands[ROLES[self.kind]].split()
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["SASSAFRASHOOK_NODE_FILE"] = str(self.settings_path)
        log = open(self.folder / "log.txt", "ab")
        self.process = subprocess.Popen(
            words, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
        )
        log.close()

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        """End the process at once and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def lose_disk(self):
        shutil.rmtree(self.data_folder, ignore_errors=True)

    def has_ended(self):
        return self.process is not None and self.process.poll() is not None


class Deployment:
    """Machines of a small deployment, each with a loopback address of its own."""

    def __init__(self, cores, edges, engines=0):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-2-"))
        deploy_file = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.commands = {name: role["run"] for name, role in deploy_file["roles"].items()}
        hosts = pick_network(cores + edges + engines + 1)
        self.operator_host = hosts.pop()
        self.engine_hosts = hosts[cores + edges :]
        node_hosts = hosts[: cores + edges]
        self.internal_port = find_free_port(node_hosts, count=16)
        self.control_port = find_free_port(node_hosts, 30_000, 31_000)
        self.frontend_port = find_free_port(node_hosts, 31_000, 32_000)
        self.readiness_port = find_free_port(node_hosts, 32_000, 32_700)
        self.seeds = node_hosts[: min(3, cores)]
        kinds = ["core"] * cores + ["edge"] * edges
        self.nodes = [
            Node(self, f"{kind}-{index + 1}", kind, host, ZONES[index % len(ZONES)])
            for index, (kind, host) in enumerate(zip(kinds, node_hosts, strict=True))
        ]
        self.cores = [node for node in self.nodes if node.kind == "core"]
        self.edges = [node for node in self.nodes if node.kind == "edge"]

    def close(self):
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
            node.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


def call(address, method, path, body=None, headers=None, timeout_s=1.0, source=None):
    """Send one request on a new channel; :returns: status, headers and body.

    :raises OSError: or ``http.client.HTTPException`` if there is no response.
    """
    connection = http.client.HTTPConnection(
        *address, timeout=timeout_s, source_address=(source, 0) if source else None
    )
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        fields = {name.lower(): value for name, value in response.getheaders()}
        return response.status, fields, response.read()
    finally:
        connection.close()


class Operator:
    """Sends orders as the pages say: to any node, follows two redirects, and resends them."""

    def __init__(self, deployment, record):
        self.deployment, self.record = deployment, record

    def send_once(self, node, method, path, body=None):
        """Send an order to one node; :returns: the status, or ``None`` without an answer."""
        address, target = node.control, path
        headers = {"Content-Type": "application/json"} if body is not None else {}
        try:
            for _ in range(3):
                status, answer_headers, answer = call(address, method, target, body, headers)
                if status != 307:
                    break
                location = answer_headers["location"].removeprefix("http://")
                host, _, rest = location.partition("/")
                address, target = (host.partition(":")[0], int(host.partition(":")[2])), "/" + rest
        except (OSError, http.client.HTTPException) as error:
            self.record.write(f"operator {method} {path} at {node.name}: no answer ({error!r})")
            return None, b""
        self.record.write(f"operator {method} {path} at {node.name}: {status}")
        return status, answer

    def order(self, method, path, body=None, until_s=30.0, nodes=None, pause_s=0.1):
        """Resend an order until it has a final answer; :returns: the seconds it took, or None."""
        nodes = nodes or self.deployment.cores
        started_at, index = time.monotonic(), random.randrange(len(nodes))
        while time.monotonic() < started_at + until_s:
            status, _ = self.send_once(nodes[index % len(nodes)], method, path, body)
            if status is not None and 200 <= status < 300:
                return time.monotonic() - started_at
            if status in (400, 409, 412, 413, 422):
                raise NotRun(f"the order was refused with {status}")
            index += 1
            time.sleep(pause_s)
            pause_s = min(1.0, pause_s * 1.5)
        return None


def make_desired_state(version, routes, services, tenants=None):
    """Return the body of a desired state.

    :param routes: dicts with the fields of a route that differ from the usual ones.
    :param services: names.
    """
    usual = {
        "host": "ficu95.example", "kind": "safe", "timeout_ms": 5000, "target_latency_ms": 500,
        "priority": 0, "max_attempts": 1, "anonymous": False, "session_affinity": False,
        "stream_resumption": False,
    }  # fmt: skip
    state = {
        "version": version,
        "route_table": [
            {"name": f"r-{index}", **usual, **route} for index, route in enumerate(routes)
        ],
        "services": [
            {
                "name": name, "health_path": "/healthz", "max_connections": 100, "protocol": "h1",
                "tls": False, "warmup_s": 0.0, "warmup_per_s": 0.0,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }  # fmt: skip
    if tenants is not None:
        state["tenants"] = tenants
    return json.dumps(state).encode()


def run_case(folder, function, is_disrupted, *counts):
    """Run a case, write its record, and end the process with the exit code of the case.

    :param function: called with the deployment and the record; returns the list of what broke
        the rule.
    :param is_disrupted: whether it runs with its disruption, for the record.
    :param counts: numbers of core machines, edge machines and engines.
    """
    record = Record(pathlib.Path(folder) / "record.txt")
    record.write(f"disruption: {'on' if is_disrupted else 'off'}")
    deployment = None
    try:
        deployment = Deployment(*counts)
        broken = function(deployment, record)
    except NotRun as error:
        record.write(f"NOT RUN: {error}")
        code = EXIT_NOT_RUN
    except Exception as error:
        record.write(f"NOT RUN: {error!r}")
        code = EXIT_NOT_RUN
    else:
        for text in broken:
            record.write(f"BROKEN: {text}")
        record.write("result: " + ("the rule was broken" if broken else "the rule held"))
        code = EXIT_BROKEN if broken else EXIT_HELD
    finally:
        if deployment is not None:
            deployment.close()
    sys.exit(code)
