"""Base classes of the commands that send requests to the controllers."""

import os
import time

import msgspec
from returns.pipeline import is_successful

from sassafrashook.operations._client import ControllerAddress, ExitCode, OperatorClient
from sassafrashook.operations._inputs import exit_with
from sassafrashook.operations._output import print_response

CONTROLLERS_VARIABLE = "SASSAFRASHOOK_CONTROLLERS"
KEY_FILE_VARIABLE = "SASSAFRASHOOK_KEY_FILE"
DEFAULT_TIMEOUT_MS = 15_000


class OperatorCommands:
    """Base class of the commands that send requests to the controllers.

    :param controllers: addresses of the controllers' operator API, ``host:port,host:port``;
        defaults to the environment variable ``SASSAFRASHOOK_CONTROLLERS``.
    :param key_file: path of the file with the operator's key; defaults to the environment variable
        ``SASSAFRASHOOK_KEY_FILE``.
    :param timeout_ms: how long to retry, in milliseconds.
    :param json: whether to print the response as JSON.
    """

    def __init__(self, controllers=None, key_file=None, timeout_ms=DEFAULT_TIMEOUT_MS, json=False):
        self._controllers = controllers
        self._key_file = key_file
        self._timeout_ms = timeout_ms
        self._json = json

    def _request(self, method, path, body=None, command_id=None):
        result = self._make_client(self._parse_addresses()).call(method, path, body, command_id)
        if not is_successful(result):
            error = result.failure()
            exit_with(error.exit_code, error.detail)
        response = result.unwrap()
        if response.status >= 400:
            exit_with(ExitCode.REFUSED, _describe_refusal(response.body))
        return response.body

    def _print(self, body, columns=None, rows=None):
        print_response(body, self._json, columns, rows)

    def _parse_addresses(self):
        text = self._controllers or os.environ.get(CONTROLLERS_VARIABLE, "")
        if isinstance(text, (list, tuple)):
            text = ",".join(text)
        try:
            addresses = [ControllerAddress.parse(part) for part in text.split(",") if part]
        except ValueError:
            exit_with(ExitCode.USAGE_ERROR, f"--controllers={text!r}: must be host:port,host:port")
        if not addresses:
            exit_with(
                ExitCode.USAGE_ERROR,
                f"pass --controllers or set the environment variable {CONTROLLERS_VARIABLE}",
            )
        return addresses

    def _make_client(self, addresses):
        deadline = time.monotonic() + self._timeout_ms / 1000
        return OperatorClient(addresses, self._read_key(), deadline)

    def _read_key(self):
        path = self._key_file or os.environ.get(KEY_FILE_VARIABLE)
        if path is None:
            return ""
        try:
            with open(path, encoding="utf-8") as file:
                return file.read().strip()
        except OSError as error:
            exit_with(ExitCode.USAGE_ERROR, f"--key-file={path!r}: {error.strerror}")


class ConfigurationUpdateCommands(OperatorCommands):
    """Base class of the commands that replace the configuration."""

    def _apply_configuration(self, configuration, expected_revision, command_id, wait):
        if expected_revision is None:
            expected_revision = self._request("GET", "/v1/configuration")["revision"]
        command = {
            "expected_revision": expected_revision,
            "document": msgspec.to_builtins(configuration),
            "wait_ms": self._timeout_ms if wait else 0,
        }
        body = self._request("PUT", "/v1/configuration", command, command_id)
        rollout = body.pop("rollout", None)
        self._print(body)
        if wait:
            _report_rollout(rollout)


def _report_rollout(rollout):
    if rollout["in_force"]:
        unresponsive = ", ".join(rollout["silent"])
        note = (
            f"; unresponsive routers, which receive no new work: {unresponsive}"
            if unresponsive
            else ""
        )
        print(f"in force everywhere: revision {rollout['revision']}{note}")
        return
    names = ", ".join(rollout["pending"])
    exit_with(ExitCode.ROLLOUT_INCOMPLETE, f"accepted; not yet confirmed by: {names}")


def _describe_refusal(body):
    reason = body.get("reason", "refused")
    rest = " ".join(f"{key}={value}" for key, value in body.items() if key != "reason")
    return f"{reason} {rest}".strip()
