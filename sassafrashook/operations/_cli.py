"""Command line interface: ``sassafrashook <noun> <verb>``."""

import functools
import sys

import fire
from returns.pipeline import is_successful

from sassafrashook.configuration import Configuration
from sassafrashook.operations._client import ExitCode
from sassafrashook.operations._commands import ConfigurationUpdateCommands, OperatorCommands
from sassafrashook.operations._explain import collect_request_lines, describe_cause, format_event
from sassafrashook.operations._inputs import (
    convert_or_exit,
    detect_document_type,
    exit_with,
    load_or_exit,
    load_settings_or_exit,
    read_lines_or_exit,
)
from sassafrashook.operations._output import print_response
from sassafrashook.operations._route_configuration import (
    check_route_configuration,
    encode_document,
    is_route_configuration,
    read_file_or_exit,
)
from sassafrashook.settings import ControllerSettings, RouterSettings

IN_FORCE = "in-force"
# An order is repeated for as long as controllers take it for the same order.
MAX_ORDER_TIMEOUT_MS = 5_000


class ConfigCommands(ConfigurationUpdateCommands):
    """Validate, apply and show the configuration."""

    def check(self, file, against=None):
        """Validate a configuration or the settings of a process, without any other effect.

        For a configuration of routes in JSON, this also lists entries without effect, limits that
        contradict each other, and the differences to another one.

        :param file: path of the document.
        :param against: path of the configuration of routes to compare with, or ``in-force`` to ask
            the controllers for it.
        """
        if is_route_configuration(file):
            read_other = functools.partial(self._read_other, against)
            sys.exit(check_route_configuration(file, read_other, self._json))
        load_or_exit(file, detect_document_type(file))
        print(f"{file}: ok")

    def _read_other(self, against):
        if against is None:
            return None
        if against == IN_FORCE:
            return encode_document(self._request("GET", "/config"))
        return read_file_or_exit(against)

    def apply(self, file, expected_revision=None, command_id=None, wait=False):
        """Replace the configuration.

        :param file: path of the YAML document.
        :param expected_revision: revision to replace; defaults to the current one.
        :param command_id: id of an earlier command to repeat.
        :param wait: whether to wait until every router has confirmed the configuration.
        """
        configuration = load_or_exit(file, Configuration)
        self._apply_configuration(configuration, expected_revision, command_id, wait)

    def show(self):
        """Show the configuration in force."""
        body = self._request("GET", "/v1/configuration")
        print_response(body, True)


class ClassCommands(ConfigurationUpdateCommands):
    """Manage work classes and their targets."""

    def set(self, name, waiting_ms, completion_ms, priority=5, command_id=None, wait=False):
        """Create or update a work class.

        :param name: name of the class.
        :param waiting_ms: limit of the wait for a permit, and target for the time to the first
            token, in milliseconds.
        :param completion_ms: target for the time to the complete response, in milliseconds.
        :param priority: 0 to 9; of otherwise equal requests the one with the lower number is first.
        :param command_id: id of an earlier command to repeat.
        :param wait: whether to wait until every router has confirmed the configuration.
        """
        state = self._request("GET", "/v1/configuration")
        document = state["document"]
        classes = [entry for entry in document["classes"] if entry["name"] != name]
        target = {"waiting_ms": waiting_ms, "completion_ms": completion_ms, "priority": priority}
        document["classes"] = [*classes, {"name": name, **target}]
        configuration = convert_or_exit(document)
        self._apply_configuration(configuration, state["revision"], command_id, wait)

    def list(self):
        """List the work classes."""
        body = self._request("GET", "/v1/configuration")
        classes = (body["document"] or {}).get("classes", [])
        columns = ["name", "waiting_ms", "completion_ms", "priority"]
        rows = [[entry.get(column, 5) for column in columns] for entry in classes]
        self._print({"classes": classes}, columns, rows)


class ZoneCommands(OperatorCommands):
    """Drain and restore availability zones."""

    def drain(self, zone, command_id=None):
        """Drain a zone; it receives no new work once the zone deadline has passed.

        :param zone: name of the zone.
        :param command_id: id of an earlier command to repeat.
        """
        self._print(self._request("POST", f"/v1/zones/{zone}/drain", {}, command_id))

    def restore(self, zone, command_id=None):
        """Restore a zone; the warm-up of its upstreams starts again.

        :param zone: name of the zone.
        :param command_id: id of an earlier command to repeat.
        """
        self._print(self._request("POST", f"/v1/zones/{zone}/restore", {}, command_id))

    def list(self):
        """List the zones and whether they are drained."""
        body = self._request("GET", "/v1/zones")
        zones = sorted({*body["drained"], *body["announced"]})
        rows = [[zone, "drained" if zone in body["drained"] else "open"] for zone in zones]
        self._print(body, ["zone", "state"], rows)


class UpstreamCommands(OperatorCommands):
    """List upstreams and send them orders."""

    def list(self):
        """List the upstreams that have announced themselves."""
        body = self._request("GET", "/v1/upstreams")
        columns = ["upstream_id", "service", "availability_zone", "host", "port", "cold", "leaving"]
        rows = [[entry.get(column, "") for column in columns] for entry in body["upstreams"]]
        self._print(body, columns, rows)

    def order(self, upstream, kind, model="", role="", command_id=None):
        """Order an upstream to load or unload a model, or to change its role.

        :param upstream: id of the upstream.
        :param kind: kind of the order, for example ``load_model`` or ``change_role``.
        :param model: model that the order is about.
        :param role: new role.
        :param command_id: id of an earlier command to repeat.
        """
        command = {"kind": kind, "model": model, "role": role}
        path = f"/v1/upstreams/{upstream}/orders"
        self._print(self._request("POST", path, command, command_id))


class MemberCommands(OperatorCommands):
    """Manage the controllers that replicate the state."""

    def list(self):
        """List the members of the controller group."""
        body = self._request("GET", "/v1/members")
        columns = ["name", "identity", "host", "port", "votes"]
        rows = [[entry.get(column, "") for column in columns] for entry in body["members"]]
        self._print(body, columns, rows)

    def replace(self, name, command_id=None):
        """Replace the identity of a member that lost its disk with the host's new identity.

        :param name: name of the controller.
        :param command_id: id of an earlier command to repeat.
        """
        members = self._request("GET", "/v1/members")["members"]
        identities = [entry["identity"] for entry in members if entry["name"] == name]
        if not identities:
            exit_with(ExitCode.USAGE_ERROR, f"{name!r} is not a member")
        command = {"identity": identities[0]}
        body = self._request("POST", f"/v1/members/{name}/replace", command, command_id)
        body.pop("members", None)
        self._print(body)
        if body["outcome"] != "committed":
            exit_with(ExitCode.REFUSED, body.get("reason", "refused"))


class RouterCommands:
    """Run a router process."""

    def run(self, settings):
        """Run a router until SIGTERM or SIGINT.

        :param settings: path of the YAML settings.
        """
        from sassafrashook.operations._router import run_router

        sys.exit(run_router(load_settings_or_exit(settings, RouterSettings)))


class ControllerCommands:
    """Run a controller process."""

    def run(self, settings):
        """Run a controller until SIGTERM or SIGINT.

        :param settings: path of the YAML settings.
        """
        from sassafrashook.operations._controller import run_controller

        sys.exit(run_controller(load_settings_or_exit(settings, ControllerSettings)))


class PlatformCommands:
    """Run processes on the platform that :mod:`sassafrashook.platform` adapts to."""

    def run(self, role, settings=None):
        """Run a process until SIGTERM or SIGINT.

        :param role: ``router`` or ``controller``.
        :param settings: path of the settings file; defaults to the platform's environment variable
            or path.
        """
        from sassafrashook.platform.__main__ import DAEMON_FACTORIES, run_role

        if role not in DAEMON_FACTORIES:
            exit_with(
                ExitCode.USAGE_ERROR, f"{role!r} is not one of: {', '.join(DAEMON_FACTORIES)}"
            )
        sys.exit(run_role(role, settings))


class RolloutCommands(OperatorCommands):
    """Move a service's traffic to another software version, on the platform.

    The controllers are named by the addresses of their control plane.
    """

    def start(self, service, to, duration_s):
        """Order a rollout; it is completed or reverted within the duration.

        :param service: name of the service.
        :param to: software version that the traffic is moved to.
        :param duration_s: time within which it must end, in seconds.
        """
        self._timeout_ms = min(self._timeout_ms, MAX_ORDER_TIMEOUT_MS)
        order = {"service": str(service), "to": str(to), "duration_s": duration_s}
        self._request("POST", "/rollouts", order)
        self._print({"service": str(service), "to": str(to), "outcome": "accepted"})

    def status(self, service):
        """Show the latest rollout of a service.

        :param service: name of the service.
        """
        self._print(self._request("GET", f"/rollouts/{service}"))

    def revert(self, service):
        """Revert the rollout of a service that is in progress.

        :param service: name of the service.
        """
        self._request("DELETE", f"/rollouts/{service}")
        self._print({"service": str(service), "outcome": "reverted"})


class RequestCommands:
    """Explain the outcome of requests.

    :param json: whether to print JSON.
    """

    def __init__(self, json=False):
        self._json = json

    def explain(self, request_id, logs="-"):
        """Show the log lines of a request, the context events before them, and the cause.

        :param request_id: id of the request, as in the field ``request`` of the log lines.
        :param logs: paths of the log files, separated by commas; ``-`` reads standard input.
        """
        files = logs.split(",") if isinstance(logs, str) else list(logs)
        matches = collect_request_lines(str(request_id), read_lines_or_exit(files))
        request_lines = [line for kind, line in matches if kind == "request"]
        if not request_lines:
            exit_with(ExitCode.REFUSED, f"no log line has the request id {request_id}")
        cause = describe_cause(request_lines)
        entries = [
            {"kind": kind, "source": line.source, "time": line.time, **line.fields}
            for kind, line in matches
        ]
        body = {"request": str(request_id), "cause": cause, "lines": entries}
        rows = [[line.time, line.source, kind, format_event(line)] for kind, line in matches]
        print_response(body, self._json, ["time", "source", "kind", "event"], rows)
        if not self._json:
            print(f"cause: {cause}")


class StatusCommand(OperatorCommands):
    """Show the status of the controllers."""

    def __call__(self):
        """Show the status of every controller, reachable or not."""
        entries = [self._request_status(address) for address in self._parse_addresses()]
        columns = ["controller", "name", "leading", "term", "leader", "revision", "problem"]
        rows = [[entry.get(column, "") for column in columns] for entry in entries]
        self._print({"controllers": entries}, columns, rows)
        if all("problem" in entry for entry in entries):
            exit_with(ExitCode.UNAVAILABLE, "no controller responded")

    def _request_status(self, address):
        controller = f"{address.host}:{address.port}"
        result = self._make_client([address]).call("GET", "/v1/status")
        if not is_successful(result):
            return {"controller": controller, "problem": result.failure().detail}
        response = result.unwrap()
        if response.status >= 400:
            return {"controller": controller, "problem": response.body.get("reason", "refused")}
        return {"controller": controller, **response.body}


def main():
    """Run the command given by the command line arguments."""
    fire.Fire(
        {
            "class": ClassCommands,
            "config": ConfigCommands,
            "controller": ControllerCommands,
            "member": MemberCommands,
            "platform": PlatformCommands,
            "request": RequestCommands,
            "rollout": RolloutCommands,
            "router": RouterCommands,
            "status": StatusCommand,
            "upstream": UpstreamCommands,
            "zone": ZoneCommands,
        },
        name="sassafrashook",
    )
