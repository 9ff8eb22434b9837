"""The command line: ``sassafrashook <noun> <verb>``."""

import sys

import fire
from returns.pipeline import is_successful

from sassafrashook.configuration import Configuration
from sassafrashook.operations._client import ExitCode
from sassafrashook.operations._commands import ConfigurationChange, OperatorCommands
from sassafrashook.operations._exits import (
    convert_or_exit,
    detect_kind,
    exit_with,
    load_or_exit,
    load_settings_or_exit,
    read_lines_or_exit,
)
from sassafrashook.operations._explain import explain_request, find_cause, format_event
from sassafrashook.operations._output import print_answer
from sassafrashook.settings import ControllerSettings, RouterSettings


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


class PlatformCommands:
    """Processes whose settings file is written by the users' platform."""

    def run(self, role, settings=None):
        """Run a process until it is told to stop.

        :param role: ``router`` or ``controller``.
        :param settings: path of the settings file; the platform's variable or place if left out.
        """
        from sassafrashook.platform.__main__ import ROLES, run_role

        if role not in ROLES:
            exit_with(ExitCode.USAGE, f"{role!r} is not one of: {', '.join(ROLES)}")
        sys.exit(run_role(role, settings))


class RequestCommands:
    """What became of one request.

    :param json: print JSON.
    """

    def __init__(self, json=False):
        self._json = json

    def explain(self, request_id, logs="-"):
        """Show a request's log lines in order, what its routers believed, and the cause.

        :param request_id: the client's id of the request.
        :param logs: log files of the processes, separated by commas; ``-`` for standard input.
        """
        files = logs.split(",") if isinstance(logs, str) else list(logs)
        found = explain_request(str(request_id), read_lines_or_exit(files))
        own = [line for kind, line in found if kind == "request"]
        if not own:
            exit_with(ExitCode.REFUSED, f"no line of request {request_id}")
        cause = find_cause(own)
        entries = [
            {"kind": kind, "source": line.source, "time": line.time, **line.pairs}
            for kind, line in found
        ]
        body = {"request": str(request_id), "cause": cause, "lines": entries}
        rows = [[line.time, line.source, kind, format_event(line)] for kind, line in found]
        print_answer(body, self._json, ["time", "source", "kind", "event"], rows)
        if not self._json:
            print(f"cause: {cause}")


class StatusCommand(OperatorCommands):
    """What each controller says of itself."""

    def __call__(self):
        """Show every controller, reachable or not."""
        entries = [self._ask(address) for address in self._find_addresses()]
        columns = ["controller", "name", "leading", "term", "leader", "revision", "problem"]
        rows = [[entry.get(column, "") for column in columns] for entry in entries]
        self._print({"controllers": entries}, columns, rows)
        if all("problem" in entry for entry in entries):
            exit_with(ExitCode.UNAVAILABLE, "no controller answers")

    def _ask(self, address):
        place = f"{address.host}:{address.port}"
        result = self._make_client([address]).call("GET", "/v1/status")
        if not is_successful(result):
            return {"controller": place, "problem": result.failure().detail}
        answer = result.unwrap()
        if answer.status >= 400:
            return {"controller": place, "problem": answer.body.get("reason", "refused")}
        return {"controller": place, **answer.body}


def main():
    """Run one command."""
    fire.Fire(
        {
            "class": ClassCommands,
            "config": ConfigCommands,
            "controller": ControllerCommands,
            "member": MemberCommands,
            "platform": PlatformCommands,
            "request": RequestCommands,
            "router": RouterCommands,
            "status": StatusCommand,
            "upstream": UpstreamCommands,
            "zone": ZoneCommands,
        },
        name="sassafrashook",
    )
