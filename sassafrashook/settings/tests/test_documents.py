"""Tests of document validation, of the loopback restriction and of key files."""

import pytest
from returns.pipeline import is_successful

from sassafrashook.configuration import Configuration
from sassafrashook.settings import (
    ControllerSettings,
    RouterSettings,
    check_unsecured_endpoints,
    load_keys,
    parse_document,
)

ROUTER = """\
name: router-1
availability_zone: muscat-a
peer_endpoint: {host: 127.0.0.1, port: 7001}
caller_endpoint:
  host: 127.0.0.1
  port: 8001
controllers:
  - {name: controller-1, host: 127.0.0.1, port: 7101}
"""

CONFIGURATION = """\
classes:
  - name: default
    waiting_ms: 500
    completion_ms: 60000
services:
  - name: stock-advisory
    kind: engine
"""


def test_valid_documents_are_loaded():
    assert parse_document(ROUTER, RouterSettings).unwrap().caller_endpoint.port == 8001
    assert parse_document(CONFIGURATION, Configuration).unwrap().load_bound == 1.25


@pytest.mark.parametrize(
    ("text", "kind", "line", "path", "message"),
    [
        (ROUTER + "colour: red\n", RouterSettings, 1, "$", "unknown field `colour`"),
        (ROUTER.replace("8001", "800100"), RouterSettings, 6, "$.caller_endpoint.port", "65535"),
        (ROUTER.replace("8001", "many"), RouterSettings, 6, "$.caller_endpoint.port", "'many'"),
        (ROUTER.replace("name: router-1\n", ""), RouterSettings, 1, "$", "`name`"),
        (ROUTER.replace("host: 127.0.0.1, port: 7101", "host: x, port: 1"), RouterSettings, 8,
         "$.controllers[0]", "'x' does not appear to be an IPv4 or IPv6 address"),
        (ROUTER + "name: twice\n", RouterSettings, 9, "$", "duplicate key 'name'"),
        (ROUTER + "\t- x", RouterSettings, 9, "$", "invalid YAML"),
        (CONFIGURATION.replace("500", "0"), Configuration, 3, "$.classes[0].waiting_ms", ">= 1"),
        (CONFIGURATION + "load_bound: 0.5\n", Configuration, 8, "$.load_bound", "0.5"),
        (CONFIGURATION + "default_class: x\n", Configuration, 1, "$", "'x' is not among"),
        (CONFIGURATION.replace("engine", "plain"), Configuration, 1, "$", "needs a path_prefix"),
        ("", Configuration, 0, "$", "object"),
    ],
)  # fmt: skip
def test_error_states_file_line_path_and_problem(text, kind, line, path, message):
    error = parse_document(text, kind, "file.yaml").failure()
    assert (error.line, error.path) == (line, path)
    assert message in str(error)
    assert str(error).startswith("file.yaml")


def test_router_without_keys_is_restricted_to_loopback():
    settings = parse_document(ROUTER, RouterSettings).unwrap()
    assert is_successful(check_unsecured_endpoints(settings))
    exposed_text = ROUTER.replace("host: 127.0.0.1\n", "host: 0.0.0.0\n")
    settings = parse_document(exposed_text, RouterSettings).unwrap()
    assert "without keys.callers only loopback" in check_unsecured_endpoints(settings).failure()


def test_controller_without_operator_keys_is_restricted_to_loopback():
    text = ROUTER.replace("caller_endpoint", "operator_endpoint") + "data_folder: data\n"
    settings = parse_document(text.replace("host: 127.0.0.1\n", "host: '::'\n"), ControllerSettings)
    assert "without keys.operators" in check_unsecured_endpoints(settings.unwrap()).failure()


def test_name_is_found_by_exact_key(tmp_path):
    path = tmp_path / "keys.yaml"
    path.write_text("shop: 0123456789abcdef\n")
    keys = load_keys(path).unwrap()
    assert keys.get("0123456789abcdef") == "shop"
    assert keys.get("0123456789abcdeF") is None


@pytest.mark.parametrize(
    "text", ["shop: short\n", "- list\n", "a: 0123456789abcdef\nb: 0123456789abcdef\n", "a: 1\n"]
)
def test_key_file_error_does_not_contain_keys(tmp_path, text):
    path = tmp_path / "keys.yaml"
    path.write_text(text)
    error = str(load_keys(path).failure())
    assert str(path) in error
    assert "0123456789abcdef" not in error
