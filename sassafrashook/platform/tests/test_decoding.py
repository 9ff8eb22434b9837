"""The platform's documents and headers in the product's terms."""

import copy
import json

import pytest
from returns.result import Failure, Success

from sassafrashook.gateway import Forwarding, PromptPart
from sassafrashook.http1 import Headers, ResponseHead
from sassafrashook.platform._configuration import decode_configuration
from sassafrashook.platform._dialect import PlatformDialect
from sassafrashook.platform._registrations import decode_registration
from sassafrashook.platform._settings import load_node_settings
from sassafrashook.platform.tests.documents import make_beat, make_config, make_node
from sassafrashook.registry import RegistrationState
from sassafrashook.routes import Repeatability


def decode(config):
    return decode_configuration(json.dumps(config).encode())


def test_a_configuration_in_the_products_terms():
    state = decode(make_config()).unwrap()
    routes = {route.path_prefix: route for route in state.routes}
    assert routes["/plans/"].repeatability is Repeatability.STREAM
    assert routes["/summaries/"].repeatability is Repeatability.RESUMABLE_STREAM
    assert routes["/orders/"].repeatability is Repeatability.AT_MOST_ONCE
    assert routes["/counts/"].repeatability is Repeatability.IDEMPOTENT
    assert [(w.service, w.weight) for w in routes["/plans/"].services] == [("s1", 90), ("s2", 10)]
    assert state.services[0].cold_per_s == 12.0
    assert state.accounts[0].keys == ["key-1", "key-2"]


def set_route(field, value, number=0):
    def change(config):
        config["route_table"][number][field] = value

    return change


def drop_split(config):
    config["route_table"][0]["traffic_split"] = []


def share_key(config):
    config["tenants"].append({"name": "other", "api_keys": ["key-1"]})


def zero_weights(config):
    for part in config["route_table"][0]["traffic_split"]:
        part["weight"] = 0


@pytest.mark.parametrize(
    ("change", "place"),
    [
        (set_route("service", "none", 1), "routes[1]"),
        (set_route("path_prefix", "/plans/", 1), "routes[1]"),
        (set_route("timeout_ms", 0), "routes[0]"),
        (set_route("timeout_ms", "soon"), "route_table[0].timeout_ms"),
        (set_route("kind", "other"), "kind"),
        (zero_weights, "routes[0]"),
        (drop_split, "routes[0]"),
        (share_key, "accounts[1]"),
        (lambda config: config.pop("version"), "version"),
    ],
)
def test_an_invalid_configuration_is_refused_with_its_place(change, place):
    config = make_config()
    change(config)
    result = decode(config)
    assert isinstance(result, Failure)
    assert place in result.failure()


@pytest.mark.parametrize("cut", [0, 1, 100, -1])
def test_a_configuration_that_was_cut_short_is_refused(cut):
    body = json.dumps(make_config()).encode()
    assert isinstance(decode_configuration(body[:cut]), Failure)


def test_fields_that_are_not_known_are_ignored():
    config = make_config()
    config["later"] = {"more": 1}
    assert isinstance(decode(config), Success)


def test_a_registration_in_the_products_terms():
    entry = decode_registration("i-1", json.dumps(make_beat(state="draining")).encode()).unwrap()
    assert entry.state is RegistrationState.DRAINING
    assert (entry.host, entry.port, entry.boot_ms, entry.sequence) == ("10.0.0.9", 8080, 1_000, 4)


@pytest.mark.parametrize(
    ("field", "value"),
    [("state", "odd"), ("slots", "many"), ("slots", 0), ("address", "10.0.0.9"), ("born", 1.5)]
    + [("address", "host:80"), ("sequence", None), ("warmup_remaining_ms", -1), ("service", 7)],
)
def test_a_registration_of_another_writer_names_no_upstream(field, value):
    beat = {**make_beat(), field: value}
    assert isinstance(decode_registration("i-1", json.dumps(beat).encode()), Failure)


@pytest.mark.parametrize("field", sorted(make_beat()))
def test_a_registration_with_a_missing_field_names_no_upstream(field):
    beat = make_beat()
    del beat[field]
    assert isinstance(decode_registration("i-1", json.dumps(beat).encode()), Failure)


def test_settings_of_both_roles(tmp_path):
    for role in ("edge", "core"):
        path = tmp_path / role
        path.write_text(json.dumps(make_node(role)))
        settings = load_node_settings(path).unwrap()
        assert settings.seeds == ("127.0.0.11", "127.0.0.12", "127.0.0.13")
        assert (settings.router is None) == (role == "core")
        assert (settings.control is None) == (role == "edge")


@pytest.mark.parametrize("field", ["ip", "bounds", "seed_nodes", "internal_port_range"])
def test_settings_that_cannot_be_used_are_refused(tmp_path, field):
    node = copy.deepcopy(make_node("edge"))
    del node[field]
    path = tmp_path / "node.json"
    path.write_text(json.dumps(node))
    assert field in load_node_settings(path).failure()


def test_request_headers():
    fields = [
        (b"X-Sassafrashook-Attempt-Id", b"a1"),
        (b"X-Sassafrashook-Deadline-Ms", b"1500"),
        (b"X-Sassafrashook-Prefix-Hash", b"5c1e:800, 91bd:410,e440:250"),
    ]
    facts = PlatformDialect().read_request(Headers(fields))
    assert (facts.request_id, facts.deadline_ms) == ("a1", 1500.0)
    assert facts.parts[1] == PromptPart("91bd", 410)


@pytest.mark.parametrize("text", [b"", b"soon", b"-5", b"1.5"])
def test_a_deadline_that_cannot_be_read_is_none(text):
    headers = Headers([(b"X-Sassafrashook-Deadline-Ms", text)])
    assert PlatformDialect().read_request(headers).deadline_ms is None


def test_answer_headers():
    fields = [(b"X-Sassafrashook-Instance-Load", b"3,1,8"), (b"X-Sassafrashook-Not-Executed", b"1")]
    facts = PlatformDialect().read_answer(ResponseHead(503, Headers(fields)))
    assert (facts.load, facts.has_not_run, facts.is_signed) == ((3, 1), True, False)
    assert PlatformDialect().read_answer(ResponseHead(421, Headers([]))).has_not_run
    assert not PlatformDialect().read_answer(ResponseHead(503, Headers([]))).has_not_run


def test_the_source_of_a_prompt_is_named():
    forwarding = Forwarding("i-1", 900.7, None, 12, "7", ("10.0.0.3", 81))
    fields = dict(PlatformDialect().encode_forwarded(Headers([]), forwarding))
    assert fields[b"Kv-Fetch"] == b"10.0.0.3:81"
    assert fields[b"X-Sassafrashook-Deadline-Ms"] == b"900"
    assert fields[b"X-Sassafrashook-Request-Priority"] == b"9"
    assert fields[b"Last-Event-Id"] == b"7"
    assert b"X-Sassafrashook-Tenant" not in fields
