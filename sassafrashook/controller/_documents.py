"""Checks of operators' documents; errors name path, value and what is allowed."""

import re

import msgspec
from returns.result import Failure, Success

from sassafrashook.configuration import Configuration

__all__ = ["DocumentProblem", "check_configuration", "convert_document"]

PATH_SUFFIX = re.compile(r"^(?P<problem>.*?)(?: - at `(?P<path>\$.*)`)?$", re.DOTALL)
PATH_STEP = re.compile(r"\.([A-Za-z0-9_-]+)|\[(\d+)\]")
UNKNOWN_FIELD = re.compile(r"unknown field `(.*)`")
MAX_VALUE_CHARS = 80


class DocumentProblem(msgspec.Struct, frozen=True):
    """What is wrong with a document.

    :param path: where, such as ``$.classes[0].waiting_ms``.
    :param value: the value found, shortened; empty for a whole object.
    :param allowed: what is allowed there.
    """

    path: str
    value: str
    allowed: str


def convert_document(value, kind):
    """Turn a decoded JSON value into a typed document.

    :returns: ``Success`` of the document or ``Failure`` of a :class:`DocumentProblem`.
    """
    try:
        return Success(msgspec.convert(value, kind))
    except msgspec.ValidationError as error:
        match = PATH_SUFFIX.match(str(error))
        path = match["path"] or "$"
        unknown = UNKNOWN_FIELD.search(match["problem"])
        if unknown:
            path += f".{unknown[1]}"
        found = _find_value(value, path)
        shown = "" if isinstance(found, dict) else repr(found)[:MAX_VALUE_CHARS]
        return Failure(DocumentProblem(path, shown, match["problem"]))


def check_configuration(value):
    """Check a whole configuration document.

    :param value: the decoded JSON value.
    :returns: ``Success`` of a :class:`~sassafrashook.configuration.Configuration` or ``Failure``
        of a :class:`DocumentProblem`.
    """
    return convert_document(value, Configuration)


def _find_value(value, path):
    for name, index in PATH_STEP.findall(path):
        try:
            value = value[int(index)] if index else value[name]
        except (KeyError, IndexError, TypeError):
            return value
    return value
