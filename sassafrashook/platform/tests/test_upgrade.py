"""Processes of an older build and of this one side by side, replaced one after the other.

The environment variables ``SEED`` and ``SOAK`` set the first seed and the number of runs, and
``OLD_BUILD`` the commit of the older build.
"""

import json
import os
import random
import signal
import subprocess
import tarfile

import gevent
import pytest

from sassafrashook.platform.tests.documents import (
    CONTROLLER_IPS,
    ROUTER_IPS,
    make_config,
)
from sassafrashook.platform.tests.scripted_upstreams import (
    ScriptedUpstream,
    find_header,
    list_event_versions,
    make_versioned_stream_script,
    respond_with_name,
    wait_for,
)
from sassafrashook.platform.tests.test_processes import ROOT, START_TIMEOUT_S, Fleet, is_ready

OLD_BUILD = os.environ.get("OLD_BUILD", "b4411a9")
FIRST_SEED = int(os.environ.get("SEED", "0"))
RUNS = int(os.environ.get("SOAK", "1"))
REPORT_INTERVAL_S = 0.4
SERVED_TIMEOUT_S = 10.0
ZONE = "z"


@pytest.fixture(scope="module")
def old_tree(tmp_path_factory):
    """Return the folder with the sources of the older build, from the repository's history."""
    folder = tmp_path_factory.mktemp("old")
    archive = folder / "sources.tar"
    command = ["git", "archive", f"--output={archive}", OLD_BUILD, "sassafrashook"]
    subprocess.run(command, cwd=ROOT, check=True)
    with tarfile.open(archive) as sources:
        sources.extractall(folder, filter="data")
    return folder


def cut_after_two_events(head):
    return find_header(head, "X-Sassafrashook-Attempt-Id").startswith("b")


class MixedFleet(Fleet):
    """Fleet of two builds under a light load.

    :param folder: directory for settings, data and logs.
    :param trees: directory of each build's sources, by the name of the build.
    """

    def __init__(self, folder, trees):
        super().__init__(folder)
        self.trees = trees
        self.version = 7
        self.request_count = 0
        self.statuses = []
        script = make_versioned_stream_script
        self.upstreams = [
            (ScriptedUpstream("i-1", respond_with_name), "s1", "v1"),
            (ScriptedUpstream("i-2", respond_with_name), "s1", "v1"),
            (ScriptedUpstream("i-3", script("v1", is_cut=cut_after_two_events)), "s3", "v1"),
            (ScriptedUpstream("i-4", script("v2", is_cut=cut_after_two_events)), "s3", "v2"),
        ]

    def start_build(self, ip, build, bootstrap=False):
        self.tree = self.trees[build]
        self.start(ip, bootstrap)

    def make_config(self):
        """Return the next configuration, which has a route of its own."""
        self.version += 1
        config = make_config(self.version)
        routes = config["route_table"]
        streams = next(r for r in routes if r["stream_resumption"])
        orders = next(r for r in routes if r["kind"] == "unsafe")
        routes.append({**streams, "name": "r-chats", "path_prefix": "/chats/", "service": "s3"})
        prefix = f"/new{self.version}/"
        routes.append({**orders, "name": f"r-{self.version}", "path_prefix": prefix})
        config["services"].append({**config["services"][0], "name": "s3"})
        return config

    def send_reports(self):
        while True:
            for upstream, service, version in self.upstreams:
                self.send_report(upstream, service=service, version=version)
            gevent.sleep(REPORT_INTERVAL_S)

    def send_orders(self, router_ip):
        """Send orders to a router while it runs, and record their statuses."""
        while True:
            gevent.sleep(0.05)
            self.request_count += 1
            request_id = f"o{self.request_count}"
            if router_ip not in self.processes:
                continue
            try:
                status, _ = self.send_request(router_ip, "/orders/1", request_id)
            except (OSError, IndexError):
                status = 0
            self.statuses.append((router_ip, request_id, status))

    def replace(self, ip, build, signal_number):
        self.kill(ip, signal_number)
        self.start_build(ip, build)
        if ip in ROUTER_IPS:
            assert wait_for(lambda: is_ready(self, ip), START_TIMEOUT_S)

    def count_runs(self):
        """Return how often each order has run, by the id of its request."""
        counts = {}
        for upstream, service, _ in self.upstreams:
            for head, _ in upstream.requests if service == "s1" else ():
                request_id = find_header(head, "X-Sassafrashook-Attempt-Id")
                counts[request_id] = counts.get(request_id, 0) + 1
        return counts

    def check_configuration(self):
        """Apply a configuration, which every process must then serve and return."""
        config = self.make_config()
        self.request_until_accepted("PUT", "/config", config)
        path = f"/new{self.version}/1"
        for ip in ROUTER_IPS:
            assert wait_for(
                lambda ip=ip: self.send_request(ip, path, f"n{ip}{path}")[0] == 200,
                SERVED_TIMEOUT_S,
            )
        held = json.loads(self.request_until_accepted("GET", "/config"))
        assert held["version"] == self.version

    def check_drained_zone(self):
        """Drain the zone of all upstreams and put it back; no router serves in between."""
        self.request_until_accepted("POST", f"/evacuations/{ZONE}")
        for ip in ROUTER_IPS:
            assert wait_for(
                lambda ip=ip: self.send_request(ip, "/counts/1", "d")[0] == 503, SERVED_TIMEOUT_S
            )
        self.request_until_accepted("DELETE", f"/evacuations/{ZONE}")
        for ip in ROUTER_IPS:
            assert wait_for(
                lambda ip=ip: self.send_request(ip, "/counts/1", "d")[0] == 200, SERVED_TIMEOUT_S
            )

    def check_streams(self, first, second, tag):
        """Begin streams at one router and resume them at another; none has two versions."""
        for number in range(4):
            path, session = "/chats/1", f"X-Sassafrashook-Prefix-Hash: {number}ab:30,{number}:4"
            _, body = self.send_request(first, path, f"b{tag}{number}", (session,))
            versions = list_event_versions(body)
            assert versions
            for name in ((f"Resumes: b{tag}{number}",), ()):
                fields = (f"Last-Event-Id: {len(versions)}", *name, session)
                status, body = self.send_request(second, path, f"c{tag}{number}", fields)
                rest = list_event_versions(body) if status == 200 else []
                assert len({*versions, *rest}) == 1
                assert status in (200, 503)

    def stop(self):
        super().stop()
        for upstream, _, _ in self.upstreams:
            upstream.stop()


@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + RUNS))
def test_builds_side_by_side_keep_configuration_orders_and_streams(seed, old_tree, tmp_path):
    """All processes are replaced by this build, and then by the older one again."""
    rng = random.Random(seed)
    fleet = MixedFleet(tmp_path, {"old": old_tree, "new": ROOT})
    tasks = []
    try:
        for ip in (*CONTROLLER_IPS, *ROUTER_IPS):
            fleet.start_build(ip, "old", bootstrap=True)
        fleet.request_until_accepted("PUT", "/config", fleet.make_config())
        tasks.append(gevent.spawn(fleet.send_reports))
        for ip in ROUTER_IPS:
            assert wait_for(lambda ip=ip: is_ready(fleet, ip), START_TIMEOUT_S)
            assert wait_for(
                lambda ip=ip: fleet.send_request(ip, "/chats/1", "b")[0] == 200, START_TIMEOUT_S
            )
            tasks.append(gevent.spawn(fleet.send_orders, ip))
        for build in ("new", "old"):
            ips = [*CONTROLLER_IPS, *ROUTER_IPS]
            rng.shuffle(ips)
            for step, ip in enumerate(ips):
                fleet.replace(ip, build, rng.choice((signal.SIGTERM, signal.SIGKILL)))
                fleet.check_configuration()
                if step in (2, 5):
                    fleet.check_streams(*rng.sample(ROUTER_IPS, 2), f"{build}{step}")
                    fleet.check_drained_zone()
    finally:
        gevent.killall(tasks)
        fleet.stop()
    runs = fleet.count_runs()
    assert all(runs[r] == 1 for r in runs if r.startswith("o"))
    refused = {request_id for _, request_id, status in fleet.statuses if status in (429, 503)}
    assert not refused & runs.keys()
    assert sum(status == 200 for _, _, status in fleet.statuses) >= len(fleet.statuses) / 2
