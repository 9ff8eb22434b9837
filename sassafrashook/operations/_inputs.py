"""Loads the input files of commands, and exits with an error message if they are invalid."""

import sys

import msgspec
from returns.pipeline import is_successful

from sassafrashook.configuration import Configuration
from sassafrashook.operations._client import ExitCode
from sassafrashook.operations._explain import parse_log_line
from sassafrashook.operations._output import print_error
from sassafrashook.settings import (
    ControllerSettings,
    RouterSettings,
    check_unsecured_endpoints,
    load_document,
)


def detect_document_type(file):
    """Return the class of a YAML document, recognised by a top-level key that only it has.

    An unreadable file counts as a :class:`Configuration`, whose loading then reports the error.

    :param file: path of the document.
    """
    document_types = {"operator_endpoint": ControllerSettings, "caller_endpoint": RouterSettings}
    try:
        with open(file, encoding="utf-8") as text:
            keys = {line.partition(":")[0] for line in text}
    except (OSError, UnicodeDecodeError):
        return Configuration
    return next(
        (document_type for key, document_type in document_types.items() if key in keys),
        Configuration,
    )


def load_or_exit(file, document_type):
    """Return a validated document, or exit with a usage error.

    :param file: path of the YAML document.
    :param document_type: class of the document.
    """
    result = load_document(file, document_type)
    if not is_successful(result):
        exit_with(ExitCode.USAGE_ERROR, str(result.failure()))
    return result.unwrap()


def load_settings_or_exit(file, document_type):
    """Return validated settings, or exit with a usage error before any socket is opened.

    :param file: path of the YAML settings.
    :param document_type: class of the settings.
    """
    settings = load_or_exit(file, document_type)
    exposure = check_unsecured_endpoints(settings)
    if not is_successful(exposure):
        exit_with(ExitCode.USAGE_ERROR, f"{file}: {exposure.failure()}")
    return settings


def convert_or_exit(document):
    """Return a validated configuration, or exit with a usage error.

    :param document: configuration as plain values.
    """
    try:
        return msgspec.convert(document, Configuration)
    except msgspec.ValidationError as error:
        exit_with(ExitCode.USAGE_ERROR, str(error))


def read_lines_or_exit(files):
    """Return the parsed log lines of some files in order, or exit with a usage error.

    :param files: paths of log files; ``-`` reads standard input.
    :returns: list of :class:`LogLine`; lines that can't be parsed are left out.
    """
    lines = []
    for name in files:
        try:
            with open(sys.stdin.fileno() if name == "-" else name, encoding="utf-8") as text:
                parsed = [parse_log_line(line, "" if name == "-" else name) for line in text]
        except (OSError, UnicodeDecodeError) as error:
            exit_with(ExitCode.USAGE_ERROR, f"{name}: {error}")
        lines.extend(line for line in parsed if line is not None)
    return lines


def exit_with(code, text):
    """Print an error message and exit.

    :param code: an :class:`ExitCode`.
    :param text: the message.
    """
    print_error(text)
    sys.exit(int(code))
