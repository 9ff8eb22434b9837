"""Ends a command early, with its reason and exit code."""

import sys

import msgspec
from returns.pipeline import is_successful

from sassafrashook.configuration import Configuration
from sassafrashook.operations._client import ExitCode
from sassafrashook.operations._explain import parse_line
from sassafrashook.operations._output import print_error
from sassafrashook.settings import (
    ControllerSettings,
    RouterSettings,
    check_exposure,
    load_document,
)


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


def read_lines_or_exit(files):
    """Return the log lines of files, each file's in order; ``-`` is standard input."""
    lines = []
    for name in files:
        try:
            with open(sys.stdin.fileno() if name == "-" else name, encoding="utf-8") as text:
                parsed = [parse_line(line, "" if name == "-" else name) for line in text]
        except (OSError, UnicodeDecodeError) as error:
            exit_with(ExitCode.USAGE, f"{name}: {error}")
        lines.extend(line for line in parsed if line is not None)
    return lines


def exit_with(code, text):
    """Print why a command failed and end the process."""
    print_error(text)
    sys.exit(int(code))
