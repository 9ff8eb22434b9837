"""Tests of the operator interface."""

import json

import falcon.testing
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Success

from sassafrashook.controller import (
    AdminApplication,
    CommandProposer,
    ConfigurationService,
    Member,
    MemberDirectory,
    OrderResponse,
    OrderService,
    UpstreamDirectory,
)
from sassafrashook.messages import (
    ConfigurationConfirmed,
    ConfigurationPublished,
    SessionOpened,
    UpstreamAnnouncement,
)
from sassafrashook.settings import ApiKeys
from sassafrashook.state import FleetStateMachine, OrderStatus
from sassafrashook.state.tests.fake_log import CONTROLLER_NAME, FakeClock, FakeLog, Outbox

KEY = "the-operators-key-0123"
HEADERS = {"Authorization": f"Bearer {KEY}"}
DOCUMENT = {
    "classes": [{"name": "default", "waiting_ms": 500, "completion_ms": 9_000}],
    "services": [{"name": "chat", "kind": "engine"}],
}


class FakeUpstreams(UpstreamDirectory):
    def __init__(self):
        self.entries = []

    def list_upstreams(self):
        return self.entries

    def add(self, name, models=(), checks_fencing=False, port=1, zone="brest-a"):
        entry = UpstreamAnnouncement(
            name, "engine", "chat", "127.0.0.1", port, zone, f"{name}-b1", 1, 1, 10, 1, 5_000,
            checks_fencing, models=list(models),
        )  # fmt: skip
        self.entries.append(entry)


class FakeMembers(MemberDirectory):
    def list_members(self):
        return [Member("c1", "i1", "127.0.0.1", 1, True, True)]

    def replace_member(self, name, body, deadline):
        return Success({"replaced": name, **body})


class AdminHarness:
    """The application with a fake replicated log and an HTTP test client."""

    def __init__(self):
        self.clock = FakeClock()
        self.state = FleetStateMachine()
        self.log = FakeLog([self.state])
        self.outbox = Outbox()
        self.upstreams = FakeUpstreams()
        self.sent = []
        proposer = CommandProposer(self.log, self.clock, self.clock.wall_ms)
        self.configuration = ConfigurationService(
            self.log, self.state, self.outbox, self.clock, sleep=self.clock.sleep
        )
        self.orders = OrderService(
            proposer, self.log, self.state, self.upstreams, "c1-b1",
            send=self.send_order, sleep=self.clock.sleep,
        )  # fmt: skip
        self.application = AdminApplication(
            CONTROLLER_NAME, self.log, self.state, proposer, self.configuration, self.orders,
            self.upstreams, FakeMembers(), ApiKeys.from_mapping({"ops": KEY}), self.clock,
        )  # fmt: skip
        for service in (self.configuration, self.orders, self.application):
            service.start()
        self.client = falcon.testing.TestClient(self.application, headers=HEADERS)

    def send_order(self, host, port, document, remaining_ms, may_send):
        if not may_send():
            return OrderResponse(OrderStatus.REFUSED, "not sent")
        self.sent.append(document)
        return OrderResponse(OrderStatus.DONE)

    def put(self, command_id, expected, document=DOCUMENT, **fields):
        body = {"command_id": command_id, "expected_revision": expected, "document": document}
        return self.client.simulate_put("/v1/configuration", json={**body, **fields})

    def post(self, path, command_id="z1", **fields):
        return self.client.simulate_post(path, json={"command_id": command_id, **fields})

    def get(self, path):
        return self.client.simulate_get(path)


@pytest.fixture
def harness():
    harness = AdminHarness()
    yield harness
    harness.configuration.stop()


def test_configuration_conflict_and_retry(harness):
    assert harness.put("c1", 0).json == {"outcome": "committed", "revision": 1, "verdict": "ran"}
    conflict = harness.put("c2", 0)
    assert (conflict.status_code, conflict.json["winner"], conflict.json["revision"]) == (
        409,
        "c1",
        1,
    )
    assert harness.put("c3", 1).json["revision"] == 2
    assert harness.put("c1", 0).json["revision"] == 1
    current = harness.get("/v1/configuration").json
    assert (current["revision"], current["document"]) == (2, DOCUMENT)


@pytest.mark.parametrize(
    ("change", "path", "value", "allowed"),
    [
        ({"load_bound": 99}, "$.document.load_bound", "99", "<= 10.0"),
        ({"weights": 5}, "$.document.weights", "5", "unknown field"),
        ({"classes": []}, "$.document.classes", "[]", "length >= 1"),
        ({"default_class": "x"}, "$.document", "", "'x' is not among the classes"),
        ({"services": DOCUMENT["services"] * 2}, "$.document", "", "'chat' appears more than once"),
    ],
)
def test_invalid_document_error_states_path_value_and_allowed(
    harness, change, path, value, allowed
):
    response = harness.put("c1", 0, {**DOCUMENT, **change})
    assert (response.status_code, response.json["path"]) == (400, path)
    assert response.json["value"] == value
    assert allowed in response.json["allowed"]
    assert response.json["verdict"] == "not_run" and not harness.log.entries


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b'{"command_id": 5}', b"\xff", b"[" * 9_999])
def test_invalid_body_is_rejected(harness, body):
    assert harness.client.simulate_put("/v1/configuration", body=body).status_code == 400
    assert not harness.log.entries


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
    lambda values: st.lists(values, max_size=3) | st.dictionaries(st.text(max_size=9), values),
    max_leaves=9,
)
FIELD_NAMES = st.sampled_from(("command_id", "expected_revision", "document", "wait_ms", "classes"))


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.dictionaries(FIELD_NAMES, JSON_VALUES) | JSON_VALUES, st.binary(max_size=9))
def test_random_body_is_rejected_without_change(value, tail):
    harness = AdminHarness()
    for path, body in (("/v1/configuration", json.dumps(value)), ("/v1/configuration", tail)):
        response = harness.client.simulate_put(path, body=body)
        assert (response.status_code, response.json["verdict"]) == (400, "not_run")
    assert not harness.log.entries
    harness.configuration.stop()


def test_oversized_body_is_rejected(harness):
    response = harness.client.simulate_put("/v1/configuration", body=b" " * 1_048_577)
    assert (response.status_code, response.json["reason"]) == (413, "body_too_large")


def test_invalid_key_is_rejected_without_change(harness):
    for headers in ({"Authorization": "Bearer wrong"}, {"Authorization": ""}):
        response = harness.client.simulate_post("/v1/zones/brest-a/drain", headers=headers)
        assert (response.status_code, response.json["reason"]) == (401, "unauthenticated")
    assert not harness.log.entries


def test_zone_drain_and_restore(harness):
    harness.upstreams.add("u1", zone="quimper-b")
    assert harness.post("/v1/zones/brest-a/drain").json["revision"] == 1
    zones = harness.get("/v1/zones").json
    assert (zones["drained"], zones["announced"]) == (["brest-a"], ["quimper-b"])
    assert harness.post("/v1/zones/brest-a/restore", "z2", expected_revision=0).status_code == 409
    assert harness.post("/v1/zones/brest-a/restore", "z3").json["outcome"] == "committed"


def test_follower_rejects_reads_and_changes_with_leader_name(harness):
    harness.log.term, harness.log.leader_name = 0, "c2"
    paths = ("/v1/zones", "/v1/configuration", "/v1/members", "/v1/upstreams")
    responses = [harness.get(path) for path in paths]
    for response in (*responses, harness.put("c1", 0), harness.post("/v1/members/c3/replace")):
        assert (response.status_code, response.json["leader"]) == (421, "c2")
        assert (response.json["reason"], response.json["verdict"]) == ("not_leader", "not_run")
    assert harness.get("/v1/status").json["leading"] is False


def test_status_of_leader_includes_its_rollout(harness):
    harness.configuration.deliver("r1", SessionOpened("r1", "b", 1, 0))
    harness.put("c1", 0)
    response = harness.get("/v1/status")
    assert (response.status_code, response.json["leading"]) == (200, True)
    assert response.json["rollout"] == {
        "revision": 1, "in_force": False, "confirmed": [], "pending": ["r1"], "silent": []
    }  # fmt: skip


@pytest.mark.parametrize(
    ("failure", "outcome", "verdict"),
    [
        ("not_accepted", "not_accepted", "not_run"),
        ("lost", "unknown", "may_have_run"),
        ("answer_lost", "unknown", "may_have_run"),
    ],
)
def test_failed_proposal_reports_verdict_and_retry_commits_once(harness, failure, outcome, verdict):
    harness.log.failures = [failure]
    response = harness.put("c1", 0)
    assert response.status_code == 503
    assert (response.json["outcome"], response.json["verdict"]) == (outcome, verdict)
    assert harness.put("c1", 0).json["revision"] == 1


def test_wait_returns_when_revision_is_in_force(harness):
    harness.configuration.deliver("r1", SessionOpened("r1", "b", 1, 0))
    rollout = harness.put("c1", 0, wait_ms=1_000).json["rollout"]
    assert (rollout["in_force"], rollout["pending"]) == (False, ["r1"])
    harness.configuration.publish()
    published = harness.outbox.pop_messages(ConfigurationPublished)[-1]
    confirmed = ConfigurationConfirmed("r1", "b", published.revision, published.digest)
    harness.configuration.deliver("r1", confirmed)
    assert harness.put("c1", 0, wait_ms=1_000).json["rollout"]["in_force"]


def test_list_and_replace_members(harness):
    assert harness.get("/v1/members").json["members"][0]["name"] == "c1"
    assert harness.post("/v1/members/c2/replace").json["replaced"] == "c2"


# Orders


def post_order(harness, upstream="u1", command_id="o1", **fields):
    return harness.post(f"/v1/upstreams/{upstream}/orders", command_id, **fields)


def test_repeated_order_is_sent_once(harness):
    harness.upstreams.add("u1")
    for _ in range(2):
        response = post_order(harness, kind="load_model", model="m@1")
        assert (response.json["status"], response.json["fencing"]) == ("done", 1)
    assert len(harness.sent) == 1
    assert harness.get("/v1/upstreams").json["orders"][0]["status"] == "done"
    changed = post_order(harness, kind="load_model", model="m@2")
    assert (changed.status_code, changed.json["reason"]) == (422, "command_id_reused")


def test_order_with_lost_reply_is_sent_only_by_its_issuer(harness):
    harness.upstreams.add("u1")
    harness.log.failures = ["answer_lost"]
    assert post_order(harness, kind="load_model", model="m@1").json["outcome"] == "unknown"
    issuer, harness.orders.issuer = harness.orders.issuer, "c2-b1"
    assert post_order(harness, kind="load_model", model="m@1").json["verdict"] == "may_have_run"
    harness.orders.issuer = issuer
    assert post_order(harness, kind="load_model", model="m@1").json["verdict"] == "ran"
    assert len(harness.sent) == 1


def test_last_holder_in_open_zone_is_not_unloaded(harness):
    harness.upstreams.add("u1", ["m@1"])
    harness.upstreams.add("u2", ["m@1"], zone="quimper-b")
    harness.post("/v1/zones/quimper-b/drain")
    refused = post_order(harness, kind="unload_model", model="m@1")
    assert (refused.json["reason"], refused.json["verdict"]) == ("last_holder", "not_run")
    assert post_order(harness, command_id="o2", kind="change_role").json["reason"] == "last_holder"
    harness.post("/v1/zones/quimper-b/restore", "z2")
    assert (
        post_order(harness, command_id="o3", kind="unload_model", model="m@1").json["status"]
        == "done"
    )


def test_order_to_unknown_upstream_is_refused(harness):
    assert post_order(harness, kind="load_model", model="m").json["reason"] == "unknown_upstream"
