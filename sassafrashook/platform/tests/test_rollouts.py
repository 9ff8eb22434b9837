"""Tests of rollouts with five controller and two router processes."""

import itertools
import json
import subprocess
import sys
import time

import gevent
import pytest
from gevent.pool import Group

from sassafrashook.platform.tests.documents import (
    CONTROL_PORT,
    CONTROLLER_IPS,
    ROUTER_IPS,
    make_config,
)
from sassafrashook.platform.tests.scripted_upstreams import (
    ScriptedUpstream,
    encode_response,
    respond_with_name,
    wait_for,
)
from sassafrashook.platform.tests.test_processes import Fleet

BOUNDS = {"canary_share": 0.1, "canary_tolerance": 50, "rollback_timeout_ms": 5_000}
REQUEST_INTERVAL_S = 0.02
DURATION_S = 12
STATE_TIMEOUT_S = DURATION_S + 5.0


def respond_with_500(_upstream, sock, head, _body):
    """Script that responds with an error status."""
    sock.sendall(encode_response(head, b"broken", "500 Internal Server Error"))
    return True


@pytest.fixture
def fleet(tmp_path):
    """Start all processes with bounds of rollouts, and three upstreams with traffic."""
    fleet = Fleet(tmp_path)
    fleet.extra_bounds = BOUNDS
    for ip in (*CONTROLLER_IPS, *ROUTER_IPS):
        fleet.start(ip)
    fleet.request_until_accepted("PUT", "/config", make_config())
    fleet.upstreams = []
    add_upstreams(fleet, "v1", respond_with_name)
    for ip in ROUTER_IPS:
        assert wait_for(lambda ip=ip: fleet.send_request(ip, "/counts/1")[0] == 200, 10.0)
    tasks = Group()
    tasks.spawn(send_reports, fleet)
    tasks.spawn(send_requests, fleet, tasks)
    yield fleet
    tasks.kill()
    fleet.stop()
    for upstream, _ in fleet.upstreams:
        upstream.stop()


def add_upstreams(fleet, version, script):
    """Start three upstreams of a version and register them."""
    for number in range(3):
        upstream = ScriptedUpstream(f"{version}-{number}", script)
        fleet.send_report(upstream, version=version)
        fleet.upstreams.append((upstream, version))


def send_reports(fleet):
    """Send the heartbeats of all upstreams, forever."""
    while True:
        gevent.sleep(0.5)
        for upstream, version in list(fleet.upstreams):
            fleet.send_report(upstream, version=version)


def send_requests(fleet, tasks):
    """Send requests to both routers, forever."""
    for number in itertools.count():
        gevent.sleep(REQUEST_INTERVAL_S)
        tasks.spawn(fleet.send_request, ROUTER_IPS[number % 2], "/counts/1", f"n{number}")


def count_requests(fleet, version):
    return sum(len(upstream.requests) for upstream, v in fleet.upstreams if v == version)


def read_state(fleet):
    return json.loads(fleet.request_until_accepted("GET", "/rollouts/s1"))


def run_command(fleet, *words):
    """Run a command of operators; :returns: its output."""
    addresses = ",".join(f"{ip}:{CONTROL_PORT}" for ip in CONTROLLER_IPS)
    command = [sys.executable, "-m", "sassafrashook", "rollout", *words]
    process = subprocess.Popen(
        [*command, f"--controllers={addresses}"], cwd=fleet.tree, stdout=subprocess.PIPE
    )
    output, _ = process.communicate(timeout=15)
    assert process.returncode == 0
    return output.decode()


def find_leader(fleet):
    """Return the controller to which another one redirects an order that changes nothing."""
    order = {"service": "nothing", "to": "v2", "duration_s": 1}
    for ip in CONTROLLER_IPS:
        status, _, location = fleet.call(ip, "POST", "/rollouts", order)
        if status in (307, 422):
            return ip if status == 422 else location.split("//")[1].split(":")[0]
    raise AssertionError("no leader")


def test_good_version_gets_all_traffic_by_the_deadline_although_the_leader_is_killed(fleet):
    """Guards against a rollout that is lost with the leader that acknowledged it."""
    add_upstreams(fleet, "v2", respond_with_name)
    gevent.sleep(1.0)
    assert count_requests(fleet, "v2") == 0
    order = {"service": "s1", "to": "v2", "duration_s": DURATION_S}
    fleet.request_until_accepted("POST", "/rollouts", order)
    ordered_at = time.monotonic()
    leader = find_leader(fleet)
    fleet.kill(leader)
    fleet.request_until_accepted("POST", "/rollouts", order)
    other = {**order, "to": "v1"}
    assert wait_for(lambda: fleet.call(find_leader(fleet), "POST", "/rollouts", other)[0] == 409)
    assert wait_for(lambda: read_state(fleet)["state"] == "completed", STATE_TIMEOUT_S)
    assert time.monotonic() < ordered_at + DURATION_S
    old = count_requests(fleet, "v1")
    gevent.sleep(1.0)
    assert count_requests(fleet, "v1") == old
    fleet.start(leader, bootstrap=False)
    assert read_state(fleet) == {"state": "completed", "to": "v2"}


def test_bad_version_is_reverted(fleet):
    """Guards against a version that answers with failures and gets more than the bound."""
    add_upstreams(fleet, "v2", respond_with_500)
    order = {"service": "s1", "to": "v2", "duration_s": DURATION_S}
    assert read_error(fleet, {**order, "service": "s9"}) == (422, "unknown service 's9'")
    assert read_error(fleet, {**order, "to": "v9"})[0] == 422
    assert read_error(fleet, {**order, "duration_s": 0})[0] == 400
    assert read_error(fleet, {"service": "s1", "to": "v2"})[0] == 400
    run_command(fleet, "start", "s1", "v2", str(DURATION_S))
    assert wait_for(lambda: read_state(fleet)["state"] == "reverted", STATE_TIMEOUT_S)
    assert "reverted" in run_command(fleet, "status", "s1")
    gevent.sleep(0.5)
    sent = count_requests(fleet, "v2")
    assert 0 < sent <= BOUNDS["canary_tolerance"]
    gevent.sleep(1.0)
    assert count_requests(fleet, "v2") == sent
    fleet.request_until_accepted("POST", "/rollouts", order)


def test_acknowledged_rollout_survives_two_lost_disks_and_a_restart_of_all(fleet):
    """Guards against an acknowledged order that is forgotten, and a step that is taken twice."""
    add_upstreams(fleet, "v2", respond_with_name)
    order = {"service": "s1", "to": "v2", "duration_s": 60}
    leader = find_leader(fleet)
    fleet.request_until_accepted("POST", "/rollouts", order)
    lost = [leader, next(ip for ip in CONTROLLER_IPS if ip != leader)]
    for ip in CONTROLLER_IPS:
        fleet.kill(ip)
    for ip in lost:
        fleet.delete_data(ip)
    for ip in CONTROLLER_IPS:
        fleet.start(ip, bootstrap=False)
    assert read_state(fleet) == {"state": "in_progress", "to": "v2"}
    run_command(fleet, "revert", "s1")
    assert read_state(fleet) == {"state": "reverted", "to": "v2"}
    gevent.sleep(0.5)
    sent = count_requests(fleet, "v2")
    gevent.sleep(1.0)
    assert count_requests(fleet, "v2") == sent


def read_error(fleet, order):
    status, body, _ = fleet.call(find_leader(fleet), "POST", "/rollouts", order)
    return status, json.loads(body).get("error")
