"""Tests of the review of a configuration before it is sent."""

import copy
import json

import pytest

from sassafrashook.operations import _route_configuration
from sassafrashook.operations._client import ExitCode
from sassafrashook.platform._configuration import decode_configuration, parse_configuration
from sassafrashook.platform.tests.documents import make_config
from sassafrashook.routes import FindingKind, compare_configurations, review_configuration


def edit(path, value):
    """Return a change of one field; the path names it, with numbers as indices."""

    def change(document):
        *parents, last = [int(p) if p.isdigit() else p for p in path.split(".")]
        for part in parents:
            document = document[part]
        if isinstance(document, dict):
            document[last] = value
        else:
            document[last : last + 1] = [value]

    return change


def parse(change=None, version=7):
    document = make_config(version)
    if change is not None:
        change(document)
    return parse_configuration(json.dumps(document).encode()).unwrap()


def repeat_route(document):
    document["route_table"].append(copy.deepcopy(document["route_table"][1]))


def add_service(document):
    document["services"].append({"name": "s3"})


def repeat_service(document):
    document["services"].append({"name": "s1"})


def add_account(keys):
    def change(document):
        document["tenants"].append({"name": "garage", "api_keys": keys})

    return change


def allow_anonymous(document):
    for route in document["route_table"]:
        route["anonymous"] = True


BROKEN = [
    (edit("route_table.1.service", "none"), "error", "routes[1]", "unknown service"),
    (edit("route_table.1.timeout_ms", 0), "error", "routes[1]", "timeout"),
    (edit("route_table.1.timeout_ms", -5), "error", "routes[1]", "timeout"),
    (edit("route_table.1.path_prefix", "summaries/"), "error", "routes[1]", "slash"),
    (edit("route_table.1.path_prefix", "/summaries"), "error", "routes[1]", "slash"),
    (edit("route_table.1.path_prefix", "/plans/"), "error", "routes[1]", "those of routes[0]"),
    (edit("route_table.0.traffic_split.0.weight", -1), "error", "routes[0]", "negative"),
    (edit("route_table.0.traffic_split.0.service", "none"), "error", "routes[0]", "unknown"),
    (edit("route_table.0.traffic_split", [{"service": "s1", "weight": 0}]), "error", "routes[0]",
     "no service has a positive weight"),
    (repeat_route, "error", "routes[4]", "those of routes[1]"),
    (add_account(["key-1"]), "error", "accounts[1]", "shares a key"),
    (edit("route_table.1.host", ""), "no_effect", "routes[1]", "no request has the host"),
    (edit("route_table.1.host", "a b"), "no_effect", "routes[1]", "no request has the host"),
    (edit("route_table.1.host", "a.example/x"), "no_effect", "routes[1]", "no request has"),
    (edit("route_table.1.path_prefix", "/a?b/"), "no_effect", "routes[1]", "no path begins"),
    (edit("route_table.1.path_prefix", "/a#b/"), "no_effect", "routes[1]", "no path begins"),
    (edit("route_table.1.path_prefix", "/a b/"), "no_effect", "routes[1]", "no path begins"),
    (edit("route_table.0.traffic_split.1.weight", 0), "no_effect", "routes[0]", "weight 0"),
    (edit("route_table.0.traffic_split.1.weight", 0), "no_effect", "services[1]", "no route"),
    (add_service, "no_effect", "services[2]", "no route leads"),
    (repeat_service, "no_effect", "services[2]", "is listed before"),
    (add_account([]), "no_effect", "accounts[1]", "has no key"),
    (add_account([" key"]), "no_effect", "accounts[1]", "can't be sent"),
    (add_account([""]), "no_effect", "accounts[1]", "can't be sent"),
    (add_account(["sch\u00fcssel"]), "no_effect", "accounts[1]", "can't be sent"),
    (allow_anonymous, "no_effect", "accounts", "no route requires a key"),
    (edit("route_table.1.target_latency_ms", 3_000), "contradiction", "routes[1]", "target"),
    (edit("route_table.1.max_attempts", 0), "contradiction", "routes[1]", "no upstream"),
    (edit("route_table.2.target_itl_ms", 400), "contradiction", "routes[2]", "no stream"),
    (edit("route_table.1.target_itl_ms", 5_000), "contradiction", "routes[1]", "gap"),
    (edit("tenants", []), "contradiction", "routes[1]", "no account has one"),
    (edit("services.0.warmup_per_s", -1), "contradiction", "services[0]", "negative"),
    (edit("limits.max_header_bytes", 10), "contradiction", "limits", "no proper request"),
    (edit("limits.idle_timeout_ms", 0), "contradiction", "limits", "not positive"),
    (edit("limits.header_timeout_ms", 20_000), "contradiction", "limits", "idle"),
]  # fmt: skip


@pytest.mark.parametrize(("change", "kind", "location", "text"), BROKEN)
def test_finding_names_kind_and_location(change, kind, location, text):
    """Guards against a mistake that an operator learns of only once it is in force."""
    findings = review_configuration(parse(change))
    assert any(f.kind == kind and f.location == location and text in f.text for f in findings)


@pytest.mark.parametrize(("change", "kind", "location", "text"), BROKEN)
def test_review_and_controllers_agree(change, kind, location, text):
    """Guards against a check that passes what controllers refuse, or the other way round."""
    document = make_config()
    change(document)
    is_refused = isinstance(
        decode_configuration(json.dumps(document).encode()), type(decode_configuration(b"{"))
    )
    findings = review_configuration(parse(change))
    assert is_refused == any(finding.kind is FindingKind.ERROR for finding in findings)


def test_proper_configuration_has_only_the_targets_that_plain_routes_ignore():
    """Guards against findings about entries that are fine."""

    def clear_gap_targets(document):
        for number in (2, 3):
            document["route_table"][number]["target_itl_ms"] = 0

    assert review_configuration(parse(clear_gap_targets)) == []


def test_differences_are_told_in_words():
    """Guards against a change that an operator doesn't see before it is sent."""

    def change(document):
        document["route_table"][0]["traffic_split"][0]["weight"] = 50
        document["route_table"][1]["service"] = "s2"
        document["route_table"][2]["timeout_ms"] = 1_500
        document["route_table"][3]["path_prefix"] = "/tallies/"
        document["limits"]["max_body_bytes"] = 1_000
        document["tenants"][0]["api_keys"] = ["key-2", "key-3", "key-4"]
        document["services"].append({"name": "s3"})

    lines = "\n".join(compare_configurations(parse(), parse(change, version=8)))
    assert "route shop.example/counts/ removed" in lines
    assert "route shop.example/tallies/ added, to s1:1" in lines
    assert "weights changed from s1:90 s2:10 to s1:50 s2:10" in lines
    assert "route shop.example/summaries/: moved from s1:1 to s2:1" in lines
    assert "route shop.example/orders/: timeout_ms 3000 -> 1500" in lines
    assert "service s3 added" in lines
    assert "limits: max_body_bytes 4194304 -> 1000" in lines
    assert "account bakery: 2 keys added, 1 removed" in lines
    assert "key-3" not in lines
    assert compare_configurations(parse(), parse()) == [
        "version 7 takes no effect: version 7 is in force"
    ]


def test_exit_code_and_report(tmp_path, capsys):
    """Guards against a script that sends a configuration in spite of errors."""

    def check(change=None, other=None):
        document = make_config()
        document["route_table"] = document["route_table"][:2]
        if change is not None:
            change(document)
        path = tmp_path / "config.json"
        path.write_text(json.dumps(document))
        assert _route_configuration.is_route_configuration(path)
        return _route_configuration.check_route_configuration(path, lambda: other, True)

    assert check() == ExitCode.SUCCESS
    assert check(add_service) == ExitCode.REFUSED
    assert check(edit("route_table.1.service", "none")) == ExitCode.USAGE_ERROR
    assert check(other=json.dumps(make_config(6)).encode()) == ExitCode.SUCCESS
    assert "route shop.example/orders/ removed" in capsys.readouterr().out
