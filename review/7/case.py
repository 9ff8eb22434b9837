"""Two core machines lose their disks, one of them twice, and a third one loses its disk later."""

import http.client
import json
import os
import socket
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
# With TROUBLE=0 the case does the same without the disruption.
IS_DISRUPTED = os.environ.get("TROUBLE", "1") != "0"

from deployment import (  # noqa: E402
    BOUNDS,
    METRICS_PORT,
    NotRun,
    Operator,
    call,
    make_desired_state,
    run_case,
)

ACK_TIMEOUT_S = 15.0
SETTLE_S = 3.0
DOWN_S = 1.0
LISTENS_S = 0.15  # how long the first machine listens before it loses power again
START_TIMEOUT_S = 10.0
MARGIN_S = 0.3  # over catch_up_s
READ_BACK_S = 45.0  # over three times recovery_s, counted from the return of all machines
NEWEST = 3
ROUTES = [{"path_prefix": "/lohu930/", "service": "huvo11a"}]


def make_state(version):
    routes = [dict(route, timeout_ms=5000 + version) for route in ROUTES]
    return make_desired_state(version, routes, ["huvo11a"])


def order(operator, version, nodes):
    took_s = operator.order("PUT", "/config", make_state(version), ACK_TIMEOUT_S, nodes)
    operator.record.write(f"desired state {version}: acknowledged after {took_s} s")
    if took_s is None:
        raise NotRun(f"desired state {version} was not acknowledged")


def find_leader(nodes):
    for node in nodes:
        try:
            _, _, text = call((node.host, METRICS_PORT), "GET", "/metrics", timeout_s=2.0)
        except (OSError, http.client.HTTPException):
            continue
        lines = text.decode().splitlines()
        if any("_leading" in line and line.split()[-1] in ("1", "1.0") for line in lines):
            return node
    raise NotRun("no leader was found")


def lose(node, record):
    node.kill()
    node.lose_disk()
    record.write(f"{node.name} loses power and its disk")


def start(node, record):
    node.start(bootstrap=False)
    record.write(f"{node.name} is back at its address with an empty disk")


def wait_until_listening(node):
    until = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < until:
        try:
            socket.create_connection(node.control, timeout=1.0).close()
            return
        except OSError:
            time.sleep(0.005)
    raise NotRun(f"{node.name} does not listen")


def disrupt(operator, nodes, record):
    leader = find_leader(nodes)
    record.write(f"the leader is {leader.name}")
    first, second, third = [node for node in nodes if node is not leader][:3]
    lose(first, record)
    lose(second, record)
    time.sleep(DOWN_S)
    start(first, record)
    wait_until_listening(first)
    start(second, record)
    second_back_at = time.monotonic()
    time.sleep(LISTENS_S)
    lose(first, record)
    running = [node for node in nodes if node is not first]
    order(operator, 2, [node for node in running if node is not second])
    counted_until = second_back_at + BOUNDS["catch_up_s"] + MARGIN_S
    time.sleep(max(0.0, counted_until - time.monotonic()))
    record.write(f"{second.name} has run for {time.monotonic() - second_back_at:.2f} s")
    order(operator, NEWEST, [node for node in running if node is not second])
    lose(third, record)
    time.sleep(DOWN_S)
    start(third, record)
    start(first, record)


def run(deployment, record):
    operator, nodes = Operator(deployment, record), deployment.cores
    for node in nodes:
        node.start(bootstrap=True)
    order(operator, 1, nodes)
    time.sleep(SETTLE_S)
    if IS_DISRUPTED:
        disrupt(operator, nodes, record)
    else:
        order(operator, 2, nodes)
        order(operator, NEWEST, nodes)
    until, index = time.monotonic() + READ_BACK_S, 0
    while time.monotonic() < until:
        status, body = operator.send_once(nodes[index % len(nodes)], "GET", "/config")
        index += 1
        if status == 200:
            version = json.loads(body)["version"]
            record.write(f"read back: version {version}")
            if version < NEWEST:
                return [f"version {version} is read back, version {NEWEST} was acknowledged"]
            return []
        time.sleep(0.5)
    ended = [node.name for node in nodes if node.has_ended()]
    record.write(f"processes that have ended: {ended or 'none'}")
    return [
        f"version {NEWEST} was acknowledged, and no machine has returned it for {READ_BACK_S} s "
        "after all machines were back"
    ]


run_case(FOLDER, run, IS_DISRUPTED, 5, 0)
