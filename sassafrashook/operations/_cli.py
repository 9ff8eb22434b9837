"""The command line: ``sassafrashook <noun> <verb>``."""

import os
import sys
import time

import fire
import msgspec
from returns.pipeline import is_successful

from sassafrashook.configuration import Configuration
from sassafrashook.operations._client import (
    ControllerAddress,
    ExitCode,
    OperatorClient,
)
from sassafrashook.operations._output import print_answer, print_error
from sassafrashook.settings import (
    ControllerSettings,
    RouterSettings,
    check_exposure,
    load_document,
)

CONTROLLERS_VARIABLE = "SASSAFRASHOOK_CONTROLLERS"
KEY_FILE_VARIABLE = "SASSAFRASHOOK_KEY_FILE"
TIMEOUT_MS = 15_000


class OperatorCommands:
    """Base of the commands that controllers answer.

    :param controllers: operator addresses of the controllers, ``host:port,host:port``; default
        from the environment variable ``SASSAFRASHOOK_CONTROLLERS``.
    :param key_file: file that holds the operator's key; default from ``SASSAFRASHOOK_KEY_FILE``.
    :param timeout_ms: how long to try.
    :param json: whether to print the answer as JSON.
    """

    def __init__(self, controllers=None, key_file=None, timeout_ms=TIMEOUT_MS, json=False):
        self._controllers = controllers
        self._key_file = key_file
        self._timeout_ms = timeout_ms
        self._json = json

    def _call(self, method, path, body=None, command_id=None):
        result = self._make_client().call(method, path, body, command_id)
        if not is_successful(result):
            error = result.failure()
            exit_with(error.exit_code, error.detail)
        answer = result.unwrap()
        if answer.status >= 400:
            exit_with(ExitCode.REFUSED, _describe_refusal(answer.body))
        return answer.body

    def _print(self, body, columns=None, rows=None):
        print_answer(body, self._json, columns, rows)

    def _make_client(self):
        text = self._controllers or os.environ.get(CONTROLLERS_VARIABLE, "")
        if isinstance(text, (list, tuple)):
            text = ",".join(text)
        try:
            addresses = [ControllerAddress.parse(part) for part in text.split(",") if part]
        except ValueError:
            exit_with(ExitCode.USAGE, f"--controllers={text!r}: must be host:port,host:port")
        if not addresses:
            exit_with(ExitCode.USAGE, f"give --controllers or set {CONTROLLERS_VARIABLE}")
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
            exit_with(ExitCode.USAGE, f"--key-file={path!r}: {error.strerror}")


class ConfigurationChange(OperatorCommands):
    """Base of the commands that replace the configuration."""

    def _apply(self, configuration, expected_revision, command_id, wait):
        if expected_revision is None:
            expected_revision = self._call("GET", "/v1/configuration")["revision"]
        command = {
            "expected_revision": expected_revision,
            "document": msgspec.to_builtins(configuration),
            "wait_ms": self._timeout_ms if wait else 0,
        }
        body = self._call("PUT", "/v1/configuration", command, command_id)
        rollout = body.pop("rollout", None)
        self._print(body)
        if wait:
            _report_rollout(rollout)


class ConfigCommands(ConfigurationChange):
    """Check, apply and show the operators' configuration."""

    def check(self, file):
        """Check a configuration or a process's settings without sending or starting anything.

        :param file: path of the YAML document.
        """
        load_or_exit(file, detect_kind(file))
        print(f"{file}: ok")

    def apply(self, file, expected_revision=None, command_id=None, wait=False):
        """Put a configuration in force.

        :param file: path of the YAML document.
        :param expected_revision: revision that it replaces; default the present one.
        :param command_id: repeats an earlier command.
        :param wait: return only once every router has confirmed it.
        """
        configuration = load_or_exit(file, Configuration)
        self._apply(configuration, expected_revision, command_id, wait)

    def show(self):
        """Show what is in force."""
        body = self._call("GET", "/v1/configuration")
        print_answer(body, True)


class ClassCommands(ConfigurationChange):
    """Classes of work and their targets."""

    def set(self, name, waiting_ms, completion_ms, priority=5, command_id=None, wait=False):
        """Create or change a class.

        :param name: the class.
        :param waiting_ms: target for the time until the first token.
        :param completion_ms: target for the time until the whole answer.
        :param priority: 0 to 9; smaller goes first between equals.
        """
        state = self._call("GET", "/v1/configuration")
        document = state["document"]
        classes = [entry for entry in document["classes"] if entry["name"] != name]
        target = {"waiting_ms": waiting_ms, "completion_ms": completion_ms, "priority": priority}
        document["classes"] = [*classes, {"name": name, **target}]
        configuration = convert_or_exit(document)
        self._apply(configuration, state["revision"], command_id, wait)

    def list(self):
        """List the classes."""
        body = self._call("GET", "/v1/configuration")
        classes = (body["document"] or {}).get("classes", [])
        columns = ["name", "waiting_ms", "completion_ms", "priority"]
        rows = [[entry.get(column, 5) for column in columns] for entry in classes]
        self._print({"classes": classes}, columns, rows)


class ZoneCommands(OperatorCommands):
    """Take availability zones out and back."""

    def drain(self, zone, command_id=None):
        """Take a zone out: it receives no new work within the zone deadline."""
        self._print(self._call("POST", f"/v1/zones/{zone}/drain", {}, command_id))

    def restore(self, zone, command_id=None):
        """Bring a zone back, through warm-up."""
        self._print(self._call("POST", f"/v1/zones/{zone}/restore", {}, command_id))

    def list(self):
        """List the zones."""
        body = self._call("GET", "/v1/zones")
        zones = sorted({*body["drained"], *body["announced"]})
        rows = [[zone, "drained" if zone in body["drained"] else "open"] for zone in zones]
        self._print(body, ["zone", "state"], rows)


class UpstreamCommands(OperatorCommands):
    """Upstreams and the orders to them."""

    def list(self):
        """List the upstreams that have announced themselves."""
        body = self._call("GET", "/v1/upstreams")
        columns = ["upstream_id", "service", "availability_zone", "host", "port", "cold", "leaving"]
        rows = [[entry.get(column, "") for column in columns] for entry in body["upstreams"]]
        self._print(body, columns, rows)

    def order(self, upstream, kind, model="", role="", command_id=None):
        """Order an upstream to load or unload a model, or to change its role."""
        command = {"kind": kind, "model": model, "role": role}
        path = f"/v1/upstreams/{upstream}/orders"
        self._print(self._call("POST", path, command, command_id))


class MemberCommands(OperatorCommands):
    """The controllers that hold the replicated state."""

    def list(self):
        """List the members."""
        body = self._call("GET", "/v1/members")
        columns = ["name", "identity", "host", "port", "votes"]
        rows = [[entry.get(column, "") for column in columns] for entry in body["members"]]
        self._print(body, columns, rows)

    def replace(self, name, command_id=None):
        """Replace a member whose disk was lost by the host's new identity.

        :param name: the controller.
        """
        members = self._call("GET", "/v1/members")["members"]
        identities = [entry["identity"] for entry in members if entry["name"] == name]
        if not identities:
            exit_with(ExitCode.USAGE, f"{name!r} is not a member")
        command = {"identity": identities[0]}
        body = self._call("POST", f"/v1/members/{name}/replace", command, command_id)
        body.pop("members", None)
        self._print(body)
        if body["outcome"] != "committed":
            exit_with(ExitCode.REFUSED, body.get("reason", "refused"))


class RouterCommands:
    """The router process."""

    def run(self, settings):
        """Run a router until it is told to stop.

        :param settings: path of its YAML settings.
        """
        from sassafrashook.operations._router import run_router

        sys.exit(run_router(load_settings_or_exit(settings, RouterSettings)))


class ControllerCommands:
    """The controller process."""

    def run(self, settings):
        """Run a controller until it is told to stop.

        :param settings: path of its YAML settings.
        """
        from sassafrashook.operations._controller import run_controller

        sys.exit(run_controller(load_settings_or_exit(settings, ControllerSettings)))


class StatusCommand(OperatorCommands):
    """The state of the fleet."""

    def __call__(self):
        """Show the state of the fleet."""
        self._print(self._call("GET", "/v1/status"))


def detect_kind(file):
    """Return the class of a document by the key that only it has."""
    kinds = {"operator_endpoint": ControllerSettings, "caller_endpoint": RouterSettings}
    try:
        with open(file, encoding="utf-8") as text:
            keys = {line.partition(":")[0] for line in text}
    except (OSError, UnicodeDecodeError):
        return Configuration
    return next((kind for key, kind in kinds.items() if key in keys), Configuration)


def load_or_exit(file, kind):
    """Return a checked document, or end the process with a usage error."""
    result = load_document(file, kind)
    if not is_successful(result):
        exit_with(ExitCode.USAGE, str(result.failure()))
    return result.unwrap()


def load_settings_or_exit(file, kind):
    """Return checked settings, or end the process before any socket opens."""
    settings = load_or_exit(file, kind)
    exposure = check_exposure(settings)
    if not is_successful(exposure):
        exit_with(ExitCode.USAGE, f"{file}: {exposure.failure()}")
    return settings


def convert_or_exit(document):
    """Return a configuration built from plain values, or end the process with a usage error."""
    try:
        return msgspec.convert(document, Configuration)
    except msgspec.ValidationError as error:
        exit_with(ExitCode.USAGE, str(error))


def exit_with(code, text):
    """Print why a command failed and end the process."""
    print_error(text)
    sys.exit(int(code))


def _report_rollout(rollout):
    if rollout["in_force"]:
        silent = ", ".join(rollout["silent"])
        note = f"; silent and so without new work: {silent}" if silent else ""
        print(f"in force everywhere: revision {rollout['revision']}{note}")
        return
    names = ", ".join(rollout["pending"])
    exit_with(ExitCode.NOT_IN_FORCE, f"accepted; not yet confirmed by: {names}")


def _describe_refusal(body):
    reason = body.get("reason", "refused")
    rest = " ".join(f"{key}={value}" for key, value in body.items() if key != "reason")
    return f"{reason} {rest}".strip()


def main():
    """Run one command."""
    fire.Fire(
        {
            "class": ClassCommands,
            "config": ConfigCommands,
            "controller": ControllerCommands,
            "member": MemberCommands,
            "router": RouterCommands,
            "status": StatusCommand,
            "upstream": UpstreamCommands,
            "zone": ZoneCommands,
        },
        name="sassafrashook",
    )
