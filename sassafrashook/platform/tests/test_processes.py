"""Tests with five controller and two router processes, each with its own loopback address."""

import itertools
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

from sassafrashook.platform.tests.crashing_upstreams import (
    POISON_PART,
    crash_on_poison_part,
    make_prompt_field,
)
from sassafrashook.platform.tests.documents import (
    CONTROL_PORT,
    CONTROLLER_IPS,
    FRONTEND_PORT,
    ODD_FIELDS,
    READINESS_PORT,
    ROUTER_IPS,
    make_config,
    make_liveness_report,
    make_node_settings,
)
from sassafrashook.platform.tests.scripted_upstreams import (
    ScriptedUpstream,
    encode_request,
    encode_response,
    find_header,
    list_event_versions,
    make_event,
    make_stream_script,
    make_versioned_stream_script,
    read_http_message,
    respond_with_name,
    wait_for,
)

ROOT = Path(__file__).resolve().parents[3]
START_TIMEOUT_S = 20.0
METRICS_PORT = 9_464


class Fleet:
    """Starts and stops the processes and sends requests to them.

    :param folder: directory for settings, data and logs.

    :ivar tree: directory with the sources of the processes that are started.
    :ivar extra_bounds: further bounds in the settings of the processes.
    """

    def __init__(self, folder):
        self.folder = folder
        self.tree = ROOT
        self.extra_bounds = {}
        self.processes = {}
        self.sequence = 0

    def start(self, ip, bootstrap=True):
        role = "core" if ip in CONTROLLER_IPS else "edge"
        data = str(self.folder / f"data-{ip}") if role == "core" else None
        path = self.folder / f"{ip}.json"
        settings = make_node_settings(role, ip, data, bootstrap)
        settings["bounds"] |= self.extra_bounds
        path.write_text(json.dumps(settings))
        daemon = "controller" if role == "core" else "router"
        with open(self.folder / f"{ip}.log", "ab") as log:
            self.processes[ip] = subprocess.Popen(
                [sys.executable, "-m", "sassafrashook.platform", daemon],
                cwd=self.tree, env={**os.environ, "SASSAFRASHOOK_NODE_FILE": str(path)},
                stdout=log, stderr=log,
            )  # fmt: skip

    def kill(self, ip, signal_number=signal.SIGKILL):
        process = self.processes.pop(ip)
        process.send_signal(signal_number)
        return process.wait(timeout=15)

    def delete_data(self, ip):
        shutil.rmtree(self.folder / f"data-{ip}")

    def read_log(self, ip):
        return (self.folder / f"{ip}.log").read_text()

    def call(self, ip, method, path, body=None, port=CONTROL_PORT):
        """Send a request to a process.

        :returns: (status, body, location), the status 0 if there is no response.
        """
        client = HTTPClient(ip, port, connection_timeout=1, network_timeout=3)
        try:
            response = client.request(method, path, body=json.dumps(body) if body else b"")
            return response.status_code, bytes(response.read()), response.get("location")
        except OSError:
            return 0, b"", None
        finally:
            client.close()

    def request_until_accepted(self, method, path, body=None):
        """Send a request to one controller after another until one accepts it.

        :returns: body of the response.
        """
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            for ip in CONTROLLER_IPS:
                status, response_body, location = self.call(ip, method, path, body)
                if status == 307:
                    leader = location.split("//")[1].split(":")[0]
                    status, response_body, _ = self.call(leader, method, path, body)
                if 200 <= status < 300:
                    return response_body
            gevent.sleep(0.1)
        raise AssertionError(f"{method} {path} was not accepted")

    def send_report(self, upstream, service="s1", **fields):
        self.sequence += 1
        address = f"127.0.0.1:{upstream.address[1]}"
        body = make_liveness_report(address, service, self.sequence, **fields)
        self.request_until_accepted("PUT", f"/instances/{upstream.name}", body)

    def send_request(self, router_ip, path="/orders/1", request_id="a1", fields=()):
        sock = gevent.socket.create_connection((router_ip, FRONTEND_PORT), timeout=5)
        sock.sendall(encode_request(path, request_id=request_id, fields=fields))
        head, body, _ = read_http_message(sock)
        sock.close()
        return int(head.split()[1]), body

    def stop(self):
        for ip in list(self.processes):
            self.kill(ip)


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    """Start all processes and apply a configuration."""
    fleet = Fleet(tmp_path_factory.mktemp("fleet"))
    for ip in (*CONTROLLER_IPS, *ROUTER_IPS):
        fleet.start(ip)
    fleet.request_until_accepted("PUT", "/config", make_config())
    yield fleet
    fleet.stop()


@pytest.fixture(scope="module")
def upstream(fleet):
    """Start an upstream of service s1 that sends liveness reports until the last test."""
    upstream = ScriptedUpstream("i-1", respond_with_name)
    fleet.send_report(upstream)
    reporter = gevent.spawn(send_reports, fleet, upstream)
    yield upstream
    reporter.kill()
    upstream.stop()


def send_reports(fleet, upstream):
    """Send a liveness report every half second."""
    while True:
        gevent.sleep(0.5)
        fleet.send_report(upstream)


def is_request_served(fleet, router_ip):
    return fleet.send_request(router_ip)[0] == 200


def is_ready(fleet, router_ip):
    return fleet.call(router_ip, "GET", "/readyz", port=READINESS_PORT)[0] == 200


def test_all_routers_serve_requests(fleet, upstream):
    for router_ip in ROUTER_IPS:
        assert wait_for(lambda router_ip=router_ip: is_request_served(fleet, router_ip))
        assert is_ready(fleet, router_ip)
    assert wait_for(lambda: fleet.send_request(ROUTER_IPS[0]) == (200, b"i-1"))


def test_all_controllers_join_group(fleet):
    def find_group_sizes():
        page = fleet.call(CONTROLLER_IPS[4], "GET", "/metrics", port=METRICS_PORT)[1].decode()
        return [line for line in page.splitlines() if "_group_members" in line]

    assert wait_for(
        lambda: any(line.endswith(" 5.0") for line in find_group_sizes()), START_TIMEOUT_S
    )


def test_metrics_page_contains_disk_view_and_log_metrics(fleet, upstream):
    assert wait_for(lambda: is_request_served(fleet, ROUTER_IPS[0]))
    pages = [
        fleet.call(ip, "GET", "/metrics", port=METRICS_PORT)[1]
        for ip in (CONTROLLER_IPS[0], ROUTER_IPS[0])
    ]
    for metric in (b"disk_write_ms", b"group_term", b"log_lines_left_out"):
        assert b"sassafrashook_" + metric in pages[0]
    for metric in (b"view_age_ms", b"request_ms", b"log_lines_left_out"):
        assert b"sassafrashook_" + metric in pages[1]


def test_controllers_return_latest_configuration_or_503(fleet):
    fleet.request_until_accepted("PUT", "/config", make_config(version=9))
    for ip in CONTROLLER_IPS:
        status, body, _ = fleet.call(ip, "GET", "/config")
        assert status == 503 or json.loads(body)["version"] == 9


def test_invalid_configuration_is_rejected_and_older_one_acknowledged(fleet):
    invalid_config = make_config(version=50)
    invalid_config["route_table"][0]["timeout_ms"] = 0
    assert fleet.call(CONTROLLER_IPS[0], "PUT", "/config", invalid_config)[0] == 400
    assert fleet.request_until_accepted("PUT", "/config", make_config(version=1)) is not None
    assert json.loads(fleet.request_until_accepted("GET", "/config"))["version"] < 50


def test_zone_drain_reaches_routers(fleet, upstream):
    assert wait_for(lambda: is_request_served(fleet, ROUTER_IPS[0]))
    fleet.request_until_accepted("POST", "/evacuations/z")
    assert wait_for(lambda: fleet.send_request(ROUTER_IPS[0])[0] == 503, 2.0)
    fleet.request_until_accepted("DELETE", "/evacuations/z")
    assert wait_for(lambda: is_request_served(fleet, ROUTER_IPS[0]))


def test_draining_upstream_receives_no_requests_after_acknowledgement(fleet):
    leaving = ScriptedUpstream("i-2", respond_with_name)
    fleet.send_report(leaving, service="s2")
    fleet.send_report(leaving, service="s2", state="draining")
    request_count = len(leaving.requests)
    for number in range(30):
        fleet.send_request(ROUTER_IPS[number % 2], "/plans/1", f"b{number}")
    assert len(leaving.requests) == request_count
    leaving.stop()


def test_invalid_registration_is_rejected(fleet):
    assert fleet.call(CONTROLLER_IPS[0], "PUT", "/instances/i-9", {"service": 7})[0] == 400


def test_odd_registrations_do_not_keep_routers_from_later_ones(fleet):
    processes, numbers = dict(fleet.processes), itertools.count()
    for number, (field, value) in enumerate(ODD_FIELDS):
        body = {**make_liveness_report("127.0.0.1:9", "odd"), field: value}
        for ip in CONTROLLER_IPS:
            fleet.call(ip, "PUT", f"/instances/odd-{number}", body)
    late = ScriptedUpstream("i-10", make_stream_script())
    fleet.send_report(late, service="s2")
    for ip in ROUTER_IPS:
        count = len(late.requests)

        def receives_request(ip=ip, count=count):
            # Which service gets a request depends on its id.
            fleet.send_request(ip, "/plans/1", f"odd-{next(numbers)}")
            return len(late.requests) > count

        assert wait_for(receives_request)
    assert all(process.poll() is None for process in processes.values())
    fleet.send_report(late, service="s2", state="draining")
    late.stop()


def test_routers_serve_requests_without_controllers(fleet, upstream):
    assert wait_for(lambda: is_request_served(fleet, ROUTER_IPS[0]))
    for ip in CONTROLLER_IPS:
        fleet.kill(ip)
    assert wait_for(lambda: is_request_served(fleet, ROUTER_IPS[0]))
    for ip in CONTROLLER_IPS:
        fleet.start(ip, bootstrap=False)
    assert json.loads(fleet.request_until_accepted("GET", "/config"))["version"] == 9


def test_configuration_survives_loss_of_two_disks(fleet):
    fleet.request_until_accepted("PUT", "/config", make_config(version=20))
    for ip in CONTROLLER_IPS[:2]:
        fleet.kill(ip)
        fleet.delete_data(ip)
    for ip in CONTROLLER_IPS[:2]:
        fleet.start(ip, bootstrap=False)
    assert json.loads(fleet.request_until_accepted("GET", "/config"))["version"] == 20


def truncate_stream(_upstream, sock, head, _body):
    """Script that closes the connection after the first event of a stream."""
    fields = [*encode_response(head, b"").split(b"\r\n")[1:3], b"Transfer-Encoding: chunked"]
    event = make_event(1)
    chunk = b"%x\r\n%s\r\n" % (len(event), event)
    sock.sendall(b"\r\n".join([b"HTTP/1.1 200 OK", *fields, b"", chunk]))
    return False


def close_without_response(_upstream, _sock, _head, _body):
    """Script that closes the connection without a response."""
    return False


def respond_slowly(upstream, sock, head, body):
    """Script that responds after 0.4 seconds."""
    gevent.sleep(0.4)
    return respond_with_name(upstream, sock, head, body)


def make_failure_config(version):
    """Return a configuration with an additional service for each cause of failure."""
    config = make_config(version)
    for number, kind in enumerate(("streaming", "unsafe", "safe", "safe"), 7):
        route = {**config["route_table"][1], "name": f"r{number}", "path_prefix": f"/f{number}/"}
        route |= {"kind": kind, "service": f"s{number}", "stream_resumption": False}
        config["route_table"].append(route)
        config["services"].append({**config["services"][0], "name": f"s{number}"})
    return config


def explain_request(fleet, request_id):
    """Return the last line that the explain command prints for a request."""
    logs = ",".join(str(fleet.folder / f"{router_ip}.log") for router_ip in ROUTER_IPS)
    command = [sys.executable, "-m", "sassafrashook", "request", "explain", request_id]
    result = subprocess.run(
        [*command, f"--logs={logs}"], cwd=ROOT, capture_output=True, text=True, check=False
    )
    assert result.returncode == 0, result.stderr
    return result.stdout.splitlines()[-1]


def test_explain_command_reports_causes_of_failed_requests(fleet):
    fleet.request_until_accepted("PUT", "/config", make_failure_config(30))
    truncating = ScriptedUpstream("i-7", truncate_stream)
    closing = ScriptedUpstream("i-8", close_without_response)
    fleet.send_report(truncating, service="s7")
    slow = ScriptedUpstream("i-10", respond_slowly)
    fleet.send_report(closing, service="s8")
    fleet.send_report(slow, service="s10", slots=1)
    assert wait_for(lambda: fleet.send_request(ROUTER_IPS[0], "/f8/1", "e0")[0] == 502)
    assert wait_for(lambda: fleet.send_request(ROUTER_IPS[0], "/f7/1", "e1")[0] == 200)
    fleet.send_request(ROUTER_IPS[0], "/f7/1", "e7")
    fleet.send_request(ROUTER_IPS[0], "/f8/1", "e8")
    fleet.send_request(ROUTER_IPS[0], "/f9/1", "e9")
    assert wait_for(lambda: fleet.send_request(ROUTER_IPS[0], "/f10/1", "e2")[0] == 200)
    occupying = [
        gevent.spawn(fleet.send_request, ROUTER_IPS[0], "/f10/1", f"e3{number}")
        for number in range(3)
    ]
    assert wait_for(lambda: len(slow.requests) >= 4)
    assert fleet.send_request(ROUTER_IPS[0], "/f10/1", "e10")[0] == 503
    gevent.joinall(occupying)
    assert wait_for(lambda: "request=e9" in fleet.read_log(ROUTER_IPS[0]))
    assert "stream_broken" in explain_request(fleet, "e7")
    assert "broken at i-7" in explain_request(fleet, "e7")
    assert "502:upstream_broke" in explain_request(fleet, "e8")
    assert "verdict may_have_run: broken at i-8" in explain_request(fleet, "e8")
    assert "no further try: runs_once" in explain_request(fleet, "e8")
    assert "no_upstream with 0 candidates" in explain_request(fleet, "e9")
    assert "no_capacity with 1 candidates, 0 suspended" in explain_request(fleet, "e10")
    for upstream in (truncating, closing, slow):
        upstream.stop()


def test_prompt_part_that_crashes_upstreams_is_quarantined_on_other_and_restarted_routers(fleet):
    first, second = ROUTER_IPS
    config = make_failure_config(40)
    fleet.request_until_accepted("PUT", "/config", config)
    upstreams = [ScriptedUpstream(f"i-2{n}", crash_on_poison_part) for n in range(7)]
    for upstream in upstreams:
        fleet.send_report(upstream, service="s7")

    def send(router_ip, *middle_parts):
        fields = (make_prompt_field(*middle_parts),)
        return fleet.send_request(router_ip, "/f7/1", fields=fields)

    def count_poisoned():
        heads = [head for upstream in upstreams for head, _ in upstream.requests]
        return sum(POISON_PART.encode() in head for head in heads)

    assert wait_for(lambda: send(second)[0] == 200)
    for _ in range(3):
        assert wait_for(lambda: send(first)[0] == 200)
        send(first, POISON_PART)
        gevent.sleep(0.5)
    crash_count = count_poisoned()
    assert crash_count <= 3
    gevent.sleep(1.0)
    assert send(second, POISON_PART) == (503, b"quarantined\n")
    fleet.kill(first)
    fleet.start(first)
    assert wait_for(lambda: is_ready(fleet, first), START_TIMEOUT_S)
    assert send(first, POISON_PART) == (503, b"quarantined\n")
    assert count_poisoned() == crash_count
    assert wait_for(lambda: send(first)[0] == 200)
    for upstream in upstreams:
        fleet.request_until_accepted("DELETE", f"/instances/{upstream.name}")
        upstream.stop()


def make_resumable_config(version, service="s8"):
    """Return a configuration with one more route and service, of streams that may be resumed."""
    config = make_config(version)
    route = next(r for r in config["route_table"] if r["stream_resumption"])
    config["route_table"].append(
        {**route, "name": "r-chats", "path_prefix": "/chats/", "service": service}
    )
    config["services"].append({**config["services"][0], "name": service})
    return config


class ResumedStreams:
    """Begins streams at one router and resumes them at another.

    Streams of requests whose id begins with ``b`` break off at each upstream.

    :param fleet: the :class:`Fleet`.
    :param versions: software version of each upstream.
    :param prefix: beginning of the upstreams' names.
    :param service: name of their service.
    """

    def __init__(self, fleet, versions, prefix="i-3", service="s8"):
        self.fleet = fleet
        self.upstreams = []
        self.begun = {}
        for number, version in enumerate(versions):
            script = make_versioned_stream_script(version, is_cut=is_begun_request)
            self.upstreams.append(ScriptedUpstream(f"{prefix}{number}", script))
            fleet.send_report(self.upstreams[-1], service=service, version=version)

    def begin(self, router_ip, count):
        """Begin streams and receive their events until they break off."""
        for number in range(len(self.begun), len(self.begun) + count):
            fields = (make_prompt_field(f"session{number}:3"),)
            _, body = self.fleet.send_request(router_ip, "/chats/1", f"b{number}", fields)
            self.begun[number] = list_event_versions(body)

    def resume(self, router_ip, numbers, is_named=True):
        """Resume streams.

        :param is_named: whether the client names the request that began the stream.
        :returns: the software versions in the events of each whole stream.
        """
        streams = []
        for number in numbers:
            fields = [
                f"Last-Event-Id: {len(self.begun[number])}",
                make_prompt_field(f"session{number}:4"),
            ]
            if is_named:
                fields.append(f"Resumes: b{number}")
            status, body = self.fleet.send_request(router_ip, "/chats/1", f"c{number}", fields)
            streams.append(self.begun[number] + list_event_versions(body if status == 200 else b""))
        return streams

    def stop(self):
        for upstream in self.upstreams:
            self.fleet.request_until_accepted("DELETE", f"/instances/{upstream.name}")
            upstream.stop()


def is_begun_request(head):
    return find_header(head, "X-Sassafrashook-Attempt-Id").startswith("b")


def test_stream_taken_up_at_other_or_restarted_router_goes_on_at_its_software_version(fleet):
    first, second = ROUTER_IPS
    fleet.request_until_accepted("PUT", "/config", make_resumable_config(50))
    streams = ResumedStreams(fleet, ("v1", "v1.1", "v1", "v1.1"))
    for router_ip in ROUTER_IPS:
        assert wait_for(
            lambda router_ip=router_ip: fleet.send_request(router_ip, "/chats/1", "b")[0] == 200
        )
    streams.begin(first, 16)
    whole = streams.resume(second, range(8))
    fleet.kill(first)
    whole += streams.resume(second, range(8, 12))
    fleet.start(first)
    assert wait_for(lambda: is_ready(fleet, first), START_TIMEOUT_S)
    whole += streams.resume(first, range(12, 16))
    assert all(len(set(versions)) == 1 for versions in whole)
    assert [len(versions) for versions in whole] == [9] * 16
    streams.stop()


def test_streams_taken_up_after_a_restart_of_all_routers_are_not_joined_from_two_versions(fleet):
    """The upstreams of the old version have started again under their names with the new one."""
    fleet.request_until_accepted("PUT", "/config", make_resumable_config(60, "s9"))
    streams = ResumedStreams(fleet, ("v1", "v1"), "i-4", "s9")
    for router_ip in ROUTER_IPS:
        assert wait_for(
            lambda router_ip=router_ip: fleet.send_request(router_ip, "/chats/1", "b")[0] == 200
        )
    streams.begin(ROUTER_IPS[0], 8)
    for upstream in streams.upstreams:
        upstream.script = make_versioned_stream_script("v1.1", is_cut=is_begun_request)
        fleet.send_report(upstream, service="s9", version="v1.1", born=9_000)
    for ip in ROUTER_IPS:
        fleet.kill(ip)
    for ip in ROUTER_IPS:
        fleet.start(ip)
    for ip in ROUTER_IPS:
        assert wait_for(lambda ip=ip: is_ready(fleet, ip), START_TIMEOUT_S)
        assert wait_for(lambda ip=ip: fleet.send_request(ip, "/chats/1", "b")[0] == 200)
    named = streams.resume(ROUTER_IPS[1], range(4))
    unnamed = streams.resume(ROUTER_IPS[1], range(4, 8), is_named=False)
    assert all(len(set(versions)) == 1 for versions in named + unnamed)
    streams.stop()


def test_router_stops_gracefully(fleet, upstream):
    assert wait_for(lambda: is_request_served(fleet, ROUTER_IPS[1]))
    assert fleet.kill(ROUTER_IPS[1], signal.SIGTERM) == 0
    log = fleet.read_log(ROUTER_IPS[1])
    assert "event=stopping" in log
    assert "event=stopped" in log


def test_changed_settings_file_is_reloaded(fleet):
    path = fleet.folder / f"{ROUTER_IPS[0]}.json"
    node = json.loads(path.read_text())
    node["seed_nodes"] = [f"{CONTROLLER_IPS[4]}:{CONTROL_PORT}"]
    path.write_text(json.dumps(node))
    assert wait_for(lambda: "event=settings_reloaded" in fleet.read_log(ROUTER_IPS[0]))


def test_invalid_settings_end_process(tmp_path):
    path = tmp_path / "node.json"
    path.write_text("{}")
    environment = {**os.environ, "SASSAFRASHOOK_NODE_FILE": str(path)}
    command = [sys.executable, "-m", "sassafrashook.platform", "router"]
    result = subprocess.run(command, cwd=ROOT, env=environment, capture_output=True, check=False)
    assert result.returncode == 2
    assert result.stdout.count(b"\n") == 1
    assert b"event=settings_refused" in result.stdout
