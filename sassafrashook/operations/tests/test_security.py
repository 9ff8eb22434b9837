"""Tests of caller, upstream and operator keys and of certificates between processes."""

import json
import shutil

import pytest
from geventhttpclient import HTTPClient

from fakes import fleet as fleet_module
from fakes.certificates import write_certificates
from fakes.fleet import Fleet, FleetSize

NAMES = [*(f"controller-{n}" for n in (1, 2, 3)), "router-1"]
WRONG_KEY = "a-wrong-key-0123456789"


@pytest.fixture
def certificates(tmp_path):
    write_certificates(tmp_path, NAMES)
    return tmp_path


def read_counter(fleet, process, metric, reason):
    page = fleet.get(fleet.ports[process].metrics, "/metrics").body.decode()
    prefix = f'sassafrashook_{metric}_total{{reason="{reason}"}}'
    lines = [line for line in page.splitlines() if line.startswith(prefix)]
    return sum(float(line.rpartition(" ")[2]) for line in lines)


def post(fleet, process, path, body, key):
    client = HTTPClient("127.0.0.1", fleet.ports[process].service, network_timeout=10)
    try:
        headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
        return client.post(path, json.dumps(body), headers).status_code
    finally:
        client.close()


def test_tls_fleet_rejects_certificate_of_unknown_authority(certificates, tmp_path_factory):
    with Fleet(FleetSize(routers=1, engines=1), tls=certificates) as fleet:
        fleet.start_serving()
        assert fleet.send_chat().has_end_marker
        fleet.processes_["router-1"].kill()
        other_authority = tmp_path_factory.mktemp("other-authority")
        write_certificates(other_authority, ["router-1"])
        for suffix in ("crt", "key"):
            shutil.copy(other_authority / f"router-1.{suffix}", certificates)
        fleet.start_router("router-1")
        leader = fleet.wait_for_leader()
        fleet.wait_until(
            lambda: read_counter(fleet, leader, "connections_refused", "certificate"),
            "a refused connection",
        )
        assert not fleet.is_serving("router-1")


def test_certificate_of_another_process_is_rejected(certificates):
    """Guards against a process that impersonates a controller with the certificate of a router."""
    with Fleet(FleetSize(routers=1, engines=1), tls=certificates) as fleet:
        fleet.start_serving()
        fleet.processes_["controller-3"].kill()
        for suffix in ("crt", "key"):
            shutil.copy(
                certificates / f"router-1.{suffix}", certificates / f"controller-3.{suffix}"
            )
        fleet.start_controller("controller-3")
        leader = fleet.wait_for_leader()
        assert leader != "controller-3"
        fleet.wait_until(
            lambda: read_counter(fleet, leader, "connections_refused", "bad_message"),
            "a refused connection",
        )


def test_invalid_keys_are_rejected_and_counted(monkeypatch):
    with Fleet(FleetSize(routers=1, engines=1)) as fleet:
        fleet.start_serving()
        leader = fleet.wait_for_leader()
        before = fleet.read_status(leader)["revision"]
        assert (
            post(fleet, leader, "/v1/zones/muscat-a/drain", {"command_id": "x"}, WRONG_KEY) == 401
        )
        assert fleet.read_status(leader)["revision"] == before
        assert read_counter(fleet, leader, "operator_refusals", "unauthenticated") == 1
        announcement = fleet.list_upstreams()[0] | {"leaving": True, "sequence": 10**9}
        assert post(fleet, "router-1", "/v1/announcements", announcement, WRONG_KEY) == 401
        assert not any(entry["leaving"] for entry in fleet.list_upstreams())
        monkeypatch.setitem(fleet_module.CALLER_KEYS, "muscat-central", WRONG_KEY)
        response = fleet.send_request(0, "POST", "/v1/chat/completions", {}, {"model": "advisor"})
        assert (response.status, response.decode_error()["verdict"]) == (401, "not_run")
        assert read_counter(fleet, "router-1", "refusals", "unauthenticated") >= 1
