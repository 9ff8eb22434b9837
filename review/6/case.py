"""A core machine is replaced as planned, then two others lose their disks."""

import http.client
import json
import os
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
# With TROUBLE=0 the case does the same without the disruption.
IS_DISRUPTED = os.environ.get("TROUBLE", "1") != "0"

from deployment import (  # noqa: E402
    BOUNDS,
    NotRun,
    Operator,
    make_desired_state,
    run_case,
)

ACK_TIMEOUT_S = 15.0  # to the first acknowledgement after the start
SUCCESSOR_AGE_S = 10.0  # over twice catch_up_s
DOWN_S = 1.0
READ_BACK_S = 45.0  # over three times recovery_s, counted from the return of the machines
NEWEST = 3
ROUTES = [{"path_prefix": "/lohu930/", "service": "huvo11a"}]


def make_state(version):
    routes = [dict(route, timeout_ms=5000 + version) for route in ROUTES]
    return make_desired_state(version, routes, ["huvo11a"])


def order(operator, version, nodes, until_s):
    took_s = operator.order("PUT", "/config", make_state(version), until_s, nodes)
    operator.record.write(f"desired state {version}: acknowledged after {took_s} s")
    return took_s


def find_voters(nodes, record):
    """Return the size of the group as one of the machines shows it on its metrics page."""
    for node in nodes:
        connection = http.client.HTTPConnection(node.host, 9464, timeout=2)
        try:
            connection.request("GET", "/metrics")
            text = connection.getresponse().read().decode()
        except (OSError, http.client.HTTPException):
            continue
        finally:
            connection.close()
        for line in text.splitlines():
            if "group_members" in line and not line.startswith("#"):
                record.write(f"{node.name}: {line}")
                break


def run(deployment, record):
    operator = Operator(deployment, record)
    old, successor = deployment.cores[3], deployment.cores[5]
    first = deployment.cores[:5]
    for node in first:
        node.start(bootstrap=True)
    if order(operator, 1, first, ACK_TIMEOUT_S) is None:
        raise NotRun("the first desired state was not acknowledged")

    record.write(f"{successor.name} is added: a new address and an empty disk")
    successor.start(bootstrap=False)
    time.sleep(SUCCESSOR_AGE_S)
    if order(operator, 2, first, ACK_TIMEOUT_S) is None:
        raise NotRun("the second desired state was not acknowledged")
    find_voters(first, record)

    record.write(f"{old.name} is removed for good: SIGTERM")
    old.signal(signal.SIGTERM)
    old.process.wait(BOUNDS["grace_period_s"])
    record.write(f"{old.name} has ended with {old.process.returncode}")

    rest = [node for node in (*first, successor) if node is not old]
    if order(operator, NEWEST, rest, ACK_TIMEOUT_S) is None:
        raise NotRun("the third desired state was not acknowledged")
    lost = rest[:2]
    if IS_DISRUPTED:
        for node in lost:
            node.kill()
            node.lose_disk()
        record.write(f"{', '.join(node.name for node in lost)} lose power and their disks")
        time.sleep(DOWN_S)
        for node in lost:
            node.start(bootstrap=False)
        record.write("both are back at their addresses, with empty disks")
    return read_back(operator, rest, record)


def read_back(operator, nodes, record):
    """Read the desired state repeatedly; :returns: what breaks the rule."""
    until = time.monotonic() + READ_BACK_S
    index = 0
    while time.monotonic() < until:
        status, body = operator.send_once(nodes[index % len(nodes)], "GET", "/config")
        index += 1
        if status == 200:
            version = json.loads(body)["version"]
            record.write(f"read back: version {version}")
            if version < NEWEST:
                return [f"version {version} is read back, version {NEWEST} was acknowledged"]
            took_s = operator.order("PUT", "/config", make_state(NEWEST + 1), 10.0, nodes)
            record.write(f"a further desired state: acknowledged after {took_s} s")
            return []
        time.sleep(0.5)
    find_voters(nodes, record)
    ended = [node.name for node in nodes if node.has_ended()]
    record.write(f"processes that have ended: {ended or 'none'}")
    return [
        f"version {NEWEST} was acknowledged, and no machine has returned it for {READ_BACK_S} s "
        "after all machines were back"
    ]


run_case(FOLDER, run, IS_DISRUPTED, 6, 0)
