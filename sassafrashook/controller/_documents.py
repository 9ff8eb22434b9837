"""Checks of operators' documents; errors name path, value and what is allowed."""

import re

import msgspec
from returns.result import Failure, Success

from sassafrashook.configuration import Configuration

__all__ = ["DocumentProblem", "check_configuration", "convert_document"]

PATH_SUFFIX = re.compile(r"^(?P<problem>.*?)(?: - at `(?P<path>\$.*)`)?$", re.DOTALL)
PATH_STEP = re.compile(r"\.([A-Za-z0-9_-]+)|\[(\d+)\]")
MAX_VALUE_CHARS = 80


class DocumentProblem(msgspec.Struct, frozen=True):
    """What is wrong with a document.

    :param path: where, such as ``$.classes[0].waiting_ms``.
    :param value: the value found, shortened.
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
        found = repr(_find_value(value, path))[:MAX_VALUE_CHARS]
        return Failure(DocumentProblem(path, found, match["problem"]))


def check_configuration(value):
    """Check a whole configuration document.

    :param value: the decoded JSON value.
    :returns: ``Success`` of a :class:`~sassafrashook.configuration.Configuration` or ``Failure``
        of a :class:`DocumentProblem`.
    """
    return convert_document(value, Configuration).bind(_check_names)


def _check_names(configuration):
    for field in ("classes", "services", "accounts"):
        names = [entry.name for entry in getattr(configuration, field)]
        repeated = sorted({name for name in names if names.count(name) > 1})
        if repeated:
            return Failure(DocumentProblem(f"$.{field}", repeated[0], "each name once"))
    known = sorted(entry.name for entry in configuration.classes)
    if configuration.default_class not in known:
        allowed = "one of " + ", ".join(known)
        return Failure(DocumentProblem("$.default_class", configuration.default_class, allowed))
    return Success(configuration)


def _find_value(value, path):
    for name, index in PATH_STEP.findall(path):
        try:
            value = value[int(index)] if index else value[name]
        except (KeyError, IndexError, TypeError):
            return value
    return value
