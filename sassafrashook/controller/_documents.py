"""Validates operator documents; errors state the path, the value and the allowed values."""

import re

import msgspec
from returns.result import Failure, Success

from sassafrashook.configuration import Configuration

__all__ = ["DocumentProblem", "check_configuration", "convert_document"]

MESSAGE_PATTERN = re.compile(r"^(?P<problem>.*?)(?: - at `(?P<path>\$.*)`)?$", re.DOTALL)
PATH_STEP_PATTERN = re.compile(r"\.([A-Za-z0-9_-]+)|\[(\d+)\]")
UNKNOWN_FIELD_PATTERN = re.compile(r"unknown field `(.*)`")
MAX_VALUE_CHARACTERS = 80


class DocumentProblem(msgspec.Struct, frozen=True):
    """A validation error of a document.

    :param path: location of the error, such as ``$.classes[0].waiting_ms``.
    :param value: the invalid value, truncated; empty for an object.
    :param allowed: the violated constraint, such as the expected type or an unknown field.
    """

    path: str
    value: str
    allowed: str


def convert_document(value, document_type):
    """Convert a decoded JSON value to a typed document.

    :param document_type: type of the document.
    :returns: ``Success`` of the document or ``Failure`` of a :class:`DocumentProblem`.
    """
    try:
        return Success(msgspec.convert(value, document_type))
    except msgspec.ValidationError as error:
        match = MESSAGE_PATTERN.match(str(error))
        path = match["path"] or "$"
        unknown = UNKNOWN_FIELD_PATTERN.search(match["problem"])
        if unknown:
            path += f".{unknown[1]}"
        invalid_value = _find_value(value, path)
        displayed_value = (
            "" if isinstance(invalid_value, dict) else repr(invalid_value)[:MAX_VALUE_CHARACTERS]
        )
        return Failure(DocumentProblem(path, displayed_value, match["problem"]))


def check_configuration(value):
    """Validate a complete configuration document.

    :param value: the decoded JSON value.
    :returns: ``Success`` of a :class:`~sassafrashook.configuration.Configuration` or ``Failure``
        of a :class:`DocumentProblem`.
    """
    return convert_document(value, Configuration)


def _find_value(value, path):
    for name, index in PATH_STEP_PATTERN.findall(path):
        try:
            value = value[int(index)] if index else value[name]
        except (KeyError, IndexError, TypeError):
            return value
    return value
