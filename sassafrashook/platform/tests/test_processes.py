"""Real processes on loopback: five controllers and two routers, each with its own address."""

import json
import os
import shutil
import signal
import subprocess
import sys
import time
from pathlib import Path

import gevent
import gevent.socket
import pytest
from geventhttpclient import HTTPClient

from sassafrashook.platform.tests.documents import (
    CONTROL_PORT,
    CORES,
    EDGES,
    FRONT_PORT,
    READY_PORT,
    make_beat,
    make_config,
    make_node,
)
from sassafrashook.platform.tests.stand_ins import (
    ScriptedUpstream,
    answer,
    encode_answer,
    encode_request,
    make_event,
    read_message,
    wait_for,
)

ROOT = Path(__file__).resolve().parents[3]
START_S = 20.0
METRICS_PORT = 9_464


class Fleet:
    """Starts, kills and asks the processes."""

    def __init__(self, folder):
        self.folder = folder
        self.processes = {}
        self.sequence = 0

    def start(self, ip, bootstrap=True):
        role = "core" if ip in CORES else "edge"
        data = str(self.folder / f"data-{ip}") if role == "core" else None
        path = self.folder / f"{ip}.json"
        path.write_text(json.dumps(make_node(role, ip, data, bootstrap)))
        program = "controller" if role == "core" else "router"
        with open(self.folder / f"{ip}.log", "ab") as log:
            self.processes[ip] = subprocess.Popen(
                [sys.executable, "-m", "sassafrashook.platform", program],
                cwd=ROOT, env={**os.environ, "SASSAFRASHOOK_NODE_FILE": str(path)},
                stdout=log, stderr=log,
            )  # fmt: skip

    def kill(self, ip, number=signal.SIGKILL):
        process = self.processes.pop(ip)
        process.send_signal(number)
        return process.wait(timeout=15)

    def wipe(self, ip):
        shutil.rmtree(self.folder / f"data-{ip}")

    def read_log(self, ip):
        return (self.folder / f"{ip}.log").read_text()

    def call(self, ip, method, path, body=None, port=CONTROL_PORT):
        """Call a process; :returns: (status, body), status 0 if nothing answered."""
        client = HTTPClient(ip, port, connection_timeout=1, network_timeout=3)
        try:
            response = client.request(method, path, body=json.dumps(body) if body else b"")
            return response.status_code, bytes(response.read()), response.get("location")
        except OSError:
            return 0, b"", None
        finally:
            client.close()

    def order(self, method, path, body=None):
        """Call controllers as an operator would, until one acknowledges."""
        deadline = time.monotonic() + START_S
        while time.monotonic() < deadline:
            for ip in CORES:
                status, answered, location = self.call(ip, method, path, body)
                if status == 307:
                    leader = location.split("//")[1].split(":")[0]
                    status, answered, _ = self.call(leader, method, path, body)
                if 200 <= status < 300:
                    return answered
            gevent.sleep(0.1)
        raise AssertionError(f"{method} {path} was not acknowledged")

    def beat(self, upstream, service="s1", **fields):
        self.sequence += 1
        address = f"127.0.0.1:{upstream.address[1]}"
        body = make_beat(address, service, self.sequence, **fields)
        self.order("PUT", f"/instances/{upstream.name}", body)

    def ask(self, edge, path="/orders/1", request_id="a1"):
        sock = gevent.socket.create_connection((edge, FRONT_PORT), timeout=5)
        sock.sendall(encode_request(path, request_id=request_id))
        head, body, _ = read_message(sock)
        sock.close()
        return int(head.split()[1]), body

    def stop(self):
        for ip in list(self.processes):
            self.kill(ip)


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    fleet = Fleet(tmp_path_factory.mktemp("fleet"))
    for ip in (*CORES, *EDGES):
        fleet.start(ip)
    fleet.order("PUT", "/config", make_config())
    yield fleet
    fleet.stop()


@pytest.fixture(scope="module")
def upstream(fleet):
    upstream = ScriptedUpstream("i-1", answer)
    fleet.beat(upstream)
    beats = gevent.spawn(beat_forever, fleet, upstream)
    yield upstream
    beats.kill()
    upstream.stop()


def beat_forever(fleet, upstream):
    while True:
        gevent.sleep(0.5)
        fleet.beat(upstream)


def is_served(fleet, edge):
    return fleet.ask(edge)[0] == 200


def test_a_request_is_served_by_every_router(fleet, upstream):
    for edge in EDGES:
        assert wait_for(lambda edge=edge: is_served(fleet, edge))
        assert fleet.call(edge, "GET", "/readyz", port=READY_PORT)[0] == 200
    assert wait_for(lambda: fleet.ask(EDGES[0]) == (200, b"i-1"))


def test_all_controllers_are_admitted(fleet):
    def count():
        page = fleet.call(CORES[4], "GET", "/metrics", port=METRICS_PORT)[1].decode()
        return [line for line in page.splitlines() if "_group_members" in line]

    assert wait_for(lambda: any(line.endswith(" 5.0") for line in count()), START_S)


def test_metrics_show_disks_views_and_logs(fleet, upstream):
    assert wait_for(lambda: is_served(fleet, EDGES[0]))
    pages = [fleet.call(ip, "GET", "/metrics", port=METRICS_PORT)[1] for ip in (CORES[0], EDGES[0])]
    for metric in (b"disk_write_ms", b"group_term", b"log_lines_left_out"):
        assert b"sassafrashook_" + metric in pages[0]
    for metric in (b"view_age_ms", b"request_ms", b"log_lines_left_out"):
        assert b"sassafrashook_" + metric in pages[1]


def test_a_configuration_is_read_back_from_any_controller(fleet):
    fleet.order("PUT", "/config", make_config(version=9))
    for ip in CORES:
        status, body, _ = fleet.call(ip, "GET", "/config")
        assert status == 503 or json.loads(body)["version"] == 9


def test_invalid_and_older_configurations(fleet):
    broken = make_config(version=50)
    broken["route_table"][0]["timeout_ms"] = 0
    assert fleet.call(CORES[0], "PUT", "/config", broken)[0] == 400
    assert fleet.order("PUT", "/config", make_config(version=1)) is not None
    assert json.loads(fleet.order("GET", "/config"))["version"] < 50


def test_an_evacuation_reaches_the_routers(fleet, upstream):
    assert wait_for(lambda: is_served(fleet, EDGES[0]))
    fleet.order("POST", "/evacuations/z")
    assert wait_for(lambda: fleet.ask(EDGES[0])[0] == 503, 2.0)
    fleet.order("DELETE", "/evacuations/z")
    assert wait_for(lambda: is_served(fleet, EDGES[0]))


def test_a_leaving_upstream_gets_nothing_once_that_is_acknowledged(fleet):
    leaving = ScriptedUpstream("i-2", answer)
    fleet.beat(leaving, service="s2")
    fleet.beat(leaving, service="s2", state="draining")
    before = len(leaving.requests)
    for number in range(30):
        fleet.ask(EDGES[number % 2], "/plans/1", f"b{number}")
    assert len(leaving.requests) == before
    leaving.stop()


def test_forged_registrations_are_refused(fleet):
    assert fleet.call(CORES[0], "PUT", "/instances/i-9", {"service": 7})[0] == 400


def test_service_goes_on_without_any_controller(fleet, upstream):
    assert wait_for(lambda: is_served(fleet, EDGES[0]))
    for ip in CORES:
        fleet.kill(ip)
    assert wait_for(lambda: is_served(fleet, EDGES[0]))
    for ip in CORES:
        fleet.start(ip, bootstrap=False)
    assert json.loads(fleet.order("GET", "/config"))["version"] == 9


def test_two_lost_disks_lose_nothing(fleet):
    fleet.order("PUT", "/config", make_config(version=20))
    for ip in CORES[:2]:
        fleet.kill(ip)
        fleet.wipe(ip)
    for ip in CORES[:2]:
        fleet.start(ip, bootstrap=False)
    assert json.loads(fleet.order("GET", "/config"))["version"] == 20


def cut_midway(_upstream, sock, head, _body):
    fields = [*encode_answer(head, b"").split(b"\r\n")[1:3], b"Transfer-Encoding: chunked"]
    event = make_event(1)
    chunk = b"%x\r\n%s\r\n" % (len(event), event)
    sock.sendall(b"\r\n".join([b"HTTP/1.1 200 OK", *fields, b"", chunk]))
    return False


def leave_without_answer(_upstream, _sock, _head, _body):
    return False


def answer_slowly(upstream, sock, head, body):
    gevent.sleep(0.4)
    return answer(upstream, sock, head, body)


def make_config_of_failures(version):
    config = make_config(version)
    for number, kind in enumerate(("streaming", "unsafe", "safe", "safe"), 7):
        route = {**config["route_table"][1], "name": f"r{number}", "path_prefix": f"/f{number}/"}
        route |= {"kind": kind, "service": f"s{number}", "stream_resumption": False}
        config["route_table"].append(route)
        config["services"].append({**config["services"][0], "name": f"s{number}"})
    return config


def explain(fleet, request_id):
    logs = ",".join(str(fleet.folder / f"{edge}.log") for edge in EDGES)
    command = [sys.executable, "-m", "sassafrashook", "request", "explain", request_id]
    result = subprocess.run(
        [*command, f"--logs={logs}"], cwd=ROOT, capture_output=True, text=True, check=False
    )
    assert result.returncode == 0, result.stderr
    return result.stdout.splitlines()[-1]


def test_the_causes_of_failed_requests_are_found_by_their_ids(fleet):
    fleet.order("PUT", "/config", make_config_of_failures(30))
    cutting = ScriptedUpstream("i-7", cut_midway)
    leaving = ScriptedUpstream("i-8", leave_without_answer)
    fleet.beat(cutting, service="s7")
    slow = ScriptedUpstream("i-10", answer_slowly)
    fleet.beat(leaving, service="s8")
    fleet.beat(slow, service="s10", slots=1)
    assert wait_for(lambda: fleet.ask(EDGES[0], "/f8/1", "e0")[0] == 502)
    assert wait_for(lambda: fleet.ask(EDGES[0], "/f7/1", "e1")[0] == 200)
    fleet.ask(EDGES[0], "/f7/1", "e7")
    fleet.ask(EDGES[0], "/f8/1", "e8")
    fleet.ask(EDGES[0], "/f9/1", "e9")
    assert wait_for(lambda: fleet.ask(EDGES[0], "/f10/1", "e2")[0] == 200)
    held = [gevent.spawn(fleet.ask, EDGES[0], "/f10/1", f"e3{number}") for number in range(3)]
    assert wait_for(lambda: len(slow.requests) >= 4)
    assert fleet.ask(EDGES[0], "/f10/1", "e10")[0] == 503
    gevent.joinall(held)
    assert wait_for(lambda: "request=e9" in fleet.read_log(EDGES[0]))
    assert "stream_broken" in explain(fleet, "e7")
    assert "broken at i-7" in explain(fleet, "e7")
    assert "502:upstream_broke" in explain(fleet, "e8")
    assert "verdict may_have_run: broken at i-8" in explain(fleet, "e8")
    assert "no further try: runs_once" in explain(fleet, "e8")
    assert "no_upstream with 0 candidates" in explain(fleet, "e9")
    assert "no_capacity with 1 candidates, 0 suspended" in explain(fleet, "e10")
    for upstream in (cutting, leaving, slow):
        upstream.stop()


def test_a_router_stops_gracefully(fleet, upstream):
    assert wait_for(lambda: is_served(fleet, EDGES[1]))
    assert fleet.kill(EDGES[1], signal.SIGTERM) == 0
    log = fleet.read_log(EDGES[1])
    assert "event=stopping" in log
    assert "event=stopped" in log


def test_changed_settings_are_read_without_a_signal(fleet):
    path = fleet.folder / f"{EDGES[0]}.json"
    node = json.loads(path.read_text())
    node["seed_nodes"] = [f"{CORES[4]}:{CONTROL_PORT}"]
    path.write_text(json.dumps(node))
    assert wait_for(lambda: "event=settings_reloaded" in fleet.read_log(EDGES[0]))


def test_settings_that_cannot_be_used_end_the_process(tmp_path):
    path = tmp_path / "node.json"
    path.write_text("{}")
    environment = {**os.environ, "SASSAFRASHOOK_NODE_FILE": str(path)}
    command = [sys.executable, "-m", "sassafrashook.platform", "router"]
    result = subprocess.run(command, cwd=ROOT, env=environment, capture_output=True, check=False)
    assert result.returncode == 2
    assert result.stdout.count(b"\n") == 1
    assert b"event=settings_refused" in result.stdout
