"""Tests of the operators' interface."""

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
from sassafrashook.settings import Keys
from sassafrashook.state import FleetStateMachine, OrderStatus
from sassafrashook.state.tests.fake_log import NAME, FakeClock, FakeLog, Outbox

KEY = "the-operators-key-0123"
HEADERS = {"Authorization": f"Bearer {KEY}"}
DOCUMENT = {
    "classes": [{"name": "default", "waiting_ms": 500, "completion_ms": 9_000}],
    "services": [{"name": "chat", "kind": "engine"}],
}


class Upstreams(UpstreamDirectory):
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


class Members(MemberDirectory):
    def list_members(self):
        return [Member("c1", "i1", "127.0.0.1", 1, True, True)]

    def replace_member(self, name, body, deadline):
        return Success({"replaced": name, **body})


class Site:
    """The application over a fake log, and a client of it."""

    def __init__(self):
        self.clock = FakeClock()
        self.state = FleetStateMachine()
        self.log = FakeLog([self.state])
        self.outbox = Outbox()
        self.upstreams = Upstreams()
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
            NAME, self.log, self.state, proposer, self.configuration, self.orders,
            self.upstreams, Members(), Keys.make({"ops": KEY}), self.clock,
        )  # fmt: skip
        for service in (self.configuration, self.orders, self.application):
            service.start()
        self.client = falcon.testing.TestClient(self.application, headers=HEADERS)

    def send_order(self, host, port, document, remaining_ms, may_send):
        if not may_send():
            return OrderResponse(OrderStatus.REFUSED, "not sent")
        self.sent.append(document)
        return OrderResponse(OrderStatus.DONE)

    def put(self, command_id, expected, document=DOCUMENT, **more):
        body = {"command_id": command_id, "expected_revision": expected, "document": document}
        return self.client.simulate_put("/v1/configuration", json={**body, **more})

    def post(self, path, command_id="z1", **more):
        return self.client.simulate_post(path, json={"command_id": command_id, **more})

    def get(self, path):
        return self.client.simulate_get(path)


@pytest.fixture
def site():
    built = Site()
    yield built
    built.configuration.stop()


def test_apply_conflict_and_resend(site):
    assert site.put("c1", 0).json == {"outcome": "committed", "revision": 1, "verdict": "ran"}
    lost = site.put("c2", 0)
    assert (lost.status_code, lost.json["winner"], lost.json["revision"]) == (409, "c1", 1)
    assert site.put("c3", 1).json["revision"] == 2
    assert site.put("c1", 0).json["revision"] == 1
    shown = site.get("/v1/configuration").json
    assert (shown["revision"], shown["document"]) == (2, DOCUMENT)


@pytest.mark.parametrize(
    ("change", "path", "value", "allowed"),
    [
        ({"load_bound": 99}, "$.document.load_bound", "99", "<= 10.0"),
        ({"weights": 5}, "$.document.weights", "5", "unknown field"),
        ({"classes": []}, "$.document.classes", "[]", "length >= 1"),
        ({"default_class": "x"}, "$.document", "", "'x' is not among the classes"),
        ({"services": DOCUMENT["services"] * 2}, "$.document", "", "'chat' stands twice"),
    ],
)
def test_bad_documents_name_path_value_and_range(site, change, path, value, allowed):
    answer = site.put("c1", 0, {**DOCUMENT, **change})
    assert (answer.status_code, answer.json["path"]) == (400, path)
    assert answer.json["value"] == value
    assert allowed in answer.json["allowed"]
    assert answer.json["verdict"] == "not_run" and not site.log.entries


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b'{"command_id": 5}', b"\xff", b"[" * 9_999])
def test_bad_bodies_are_refused(site, body):
    assert site.client.simulate_put("/v1/configuration", body=body).status_code == 400
    assert not site.log.entries


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=9), inner),
    max_leaves=9,
)
FIELDS = st.sampled_from(("command_id", "expected_revision", "document", "wait_ms", "classes"))


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.dictionaries(FIELDS, JSON_VALUES) | JSON_VALUES, st.binary(max_size=9))
def test_any_body_is_answered_and_changes_nothing(value, tail):
    site = Site()
    for path, body in (("/v1/configuration", json.dumps(value)), ("/v1/configuration", tail)):
        answer = site.client.simulate_put(path, body=body)
        assert (answer.status_code, answer.json["verdict"]) == (400, "not_run")
    assert not site.log.entries
    site.configuration.stop()


def test_huge_body_is_refused(site):
    answer = site.client.simulate_put("/v1/configuration", body=b" " * 1_048_577)
    assert (answer.status_code, answer.json["reason"]) == (413, "body_too_large")


def test_wrong_key_changes_nothing(site):
    for headers in ({"Authorization": "Bearer wrong"}, {"Authorization": ""}):
        answer = site.client.simulate_post("/v1/zones/brest-a/drain", headers=headers)
        assert (answer.status_code, answer.json["reason"]) == (401, "unauthenticated")
    assert not site.log.entries


def test_zones(site):
    site.upstreams.add("u1", zone="quimper-b")
    assert site.post("/v1/zones/brest-a/drain").json["revision"] == 1
    zones = site.get("/v1/zones").json
    assert (zones["drained"], zones["announced"]) == (["brest-a"], ["quimper-b"])
    assert site.post("/v1/zones/brest-a/restore", "z2", expected_revision=0).status_code == 409
    assert site.post("/v1/zones/brest-a/restore", "z3").json["outcome"] == "committed"


def test_follower_names_the_leader_and_answers_no_read(site):
    site.log.term, site.log.leader_name = 0, "c2"
    for answer in (site.put("c1", 0), site.get("/v1/zones"), site.get("/v1/configuration")):
        assert (answer.status_code, answer.json["leader"]) == (421, "c2")
        assert (answer.json["reason"], answer.json["verdict"]) == ("not_leader", "not_run")
    assert site.get("/v1/status").json["leading"] is False


@pytest.mark.parametrize(
    ("failure", "outcome", "verdict"),
    [
        ("not_accepted", "not_accepted", "not_run"),
        ("lost", "unknown", "may_have_run"),
        ("answer_lost", "unknown", "may_have_run"),
    ],
)
def test_lost_answers_are_told_as_such_and_the_resend_succeeds_once(
    site, failure, outcome, verdict
):
    site.log.failures = [failure]
    answer = site.put("c1", 0)
    assert answer.status_code == 503
    assert (answer.json["outcome"], answer.json["verdict"]) == (outcome, verdict)
    assert site.put("c1", 0).json["revision"] == 1


def test_wait_returns_once_in_force(site):
    site.configuration.deliver("r1", SessionOpened("r1", "b", 1, 0))
    rollout = site.put("c1", 0, wait_ms=1_000).json["rollout"]
    assert (rollout["in_force"], rollout["pending"]) == (False, ["r1"])
    site.configuration.publish()
    published = site.outbox.take(ConfigurationPublished)[-1]
    confirmed = ConfigurationConfirmed("r1", "b", published.revision, published.digest)
    site.configuration.deliver("r1", confirmed)
    assert site.put("c1", 0, wait_ms=1_000).json["rollout"]["in_force"]


def test_members(site):
    assert site.get("/v1/members").json["members"][0]["name"] == "c1"
    assert site.post("/v1/members/c2/replace").json["replaced"] == "c2"


# Orders


def order(site, upstream="u1", command_id="o1", **more):
    return site.post(f"/v1/upstreams/{upstream}/orders", command_id, **more)


def test_order_is_sent_once_however_often_it_is_asked_for(site):
    site.upstreams.add("u1")
    for _ in range(2):
        answer = order(site, kind="load_model", model="m@1")
        assert (answer.json["status"], answer.json["fencing"]) == ("done", 1)
    assert len(site.sent) == 1
    assert site.get("/v1/upstreams").json["orders"][0]["status"] == "done"
    changed = order(site, kind="load_model", model="m@2")
    assert (changed.status_code, changed.json["reason"]) == (422, "command_id_reused")


def test_lost_answer_of_an_order_is_resumed_by_its_issuer_only(site):
    site.upstreams.add("u1")
    site.log.failures = ["answer_lost"]
    assert order(site, kind="load_model", model="m@1").json["outcome"] == "unknown"
    issuer, site.orders.issuer = site.orders.issuer, "c2-b1"
    assert order(site, kind="load_model", model="m@1").json["verdict"] == "may_have_run"
    site.orders.issuer = issuer
    assert order(site, kind="load_model", model="m@1").json["verdict"] == "ran"
    assert len(site.sent) == 1


def test_last_holder_in_an_open_zone_is_kept(site):
    site.upstreams.add("u1", ["m@1"])
    site.upstreams.add("u2", ["m@1"], zone="quimper-b")
    site.post("/v1/zones/quimper-b/drain")
    kept = order(site, kind="unload_model", model="m@1")
    assert (kept.json["reason"], kept.json["verdict"]) == ("last_holder", "not_run")
    assert order(site, command_id="o2", kind="change_role").json["reason"] == "last_holder"
    site.post("/v1/zones/quimper-b/restore", "z2")
    assert order(site, command_id="o3", kind="unload_model", model="m@1").json["status"] == "done"


def test_unknown_upstream(site):
    assert order(site, kind="load_model", model="m").json["reason"] == "unknown_upstream"
