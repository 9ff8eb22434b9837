"""Check of a route configuration before it is sent to the controllers."""

import json

from returns.pipeline import is_successful

from sassafrashook.operations._client import ExitCode
from sassafrashook.operations._inputs import exit_with
from sassafrashook.operations._output import format_table, print_response
from sassafrashook.routes import FindingKind, compare_configurations, review_configuration

ROUTES_KEY = "route_table"  # only route configurations have it at the top level


def is_route_configuration(file):
    """Return whether a file holds a route configuration in JSON.

    :param file: path of the document.
    """
    try:
        with open(file, "rb") as document:
            body = document.read()
        return body.lstrip()[:1] == b"{" and f'"{ROUTES_KEY}"'.encode() in body
    except OSError:
        return False


def check_route_configuration(file, read_in_force, as_json):
    """Print what is wrong with a route configuration, and what differs from the one in force.

    :param file: path of the document.
    :param read_in_force: called without arguments; returns the document in force as ``bytes``, or
        ``None`` to compare with nothing.
    :param as_json: whether to print JSON.
    :returns: an :class:`ExitCode`: ``USAGE_ERROR`` if controllers would refuse the configuration,
        ``REFUSED`` if there are other findings.
    """
    configuration = _parse_or_exit(read_file_or_exit(file), file)
    findings = review_configuration(configuration)
    differences = []
    in_force = read_in_force()
    if in_force is not None:
        differences = compare_configurations(
            _parse_or_exit(in_force, "the configuration in force"), configuration
        )
    _print_report(findings, differences, in_force is not None, as_json)
    if any(finding.kind is FindingKind.ERROR for finding in findings):
        return ExitCode.USAGE_ERROR
    return ExitCode.REFUSED if findings else ExitCode.SUCCESS


def read_file_or_exit(file):
    """Return the bytes of a file, or exit with a usage error."""
    try:
        with open(file, "rb") as document:
            return document.read()
    except OSError as error:
        exit_with(ExitCode.USAGE_ERROR, f"{file}: {error}")


def encode_document(body):
    """Return a decoded document as JSON, ``bytes``."""
    return json.dumps(body).encode()


def _parse_or_exit(body, name):
    # The platform's format is known to its adapter only.
    from sassafrashook.platform._configuration import parse_configuration

    parsed = parse_configuration(body)
    if not is_successful(parsed):
        exit_with(ExitCode.USAGE_ERROR, f"{name}: {parsed.failure()}")
    return parsed.unwrap()


def _print_report(findings, differences, is_compared, as_json):
    rows = [[finding.kind, finding.location, finding.text] for finding in findings]
    columns = ["kind", "location", "text"]
    if as_json:
        entries = [dict(zip(columns, row, strict=True)) for row in rows]
        print_response({"findings": entries, "differences": differences}, True)
        return
    print(format_table(columns, rows) if rows else "no findings")
    if is_compared:
        print("\n".join(["differences:", *differences]) if differences else "no differences")
