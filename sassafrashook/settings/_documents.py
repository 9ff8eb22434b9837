"""Reads YAML into typed documents; errors name file, line, path, value and allowed range."""

import re
from dataclasses import dataclass

import msgspec
import yaml
from returns.result import Failure, Success

ROOT_PATH = "$"
PATH_SUFFIX = re.compile(r"^(?P<problem>.*?)(?: - at `(?P<path>\$.*)`)?$", re.DOTALL)
PATH_STEP = re.compile(r"\.([A-Za-z0-9_-]+)|\[(\d+|\.\.\.)\]")
MAX_VALUE_CHARACTERS = 80


@dataclass(slots=True, frozen=True)
class DocumentError:
    """What is wrong with a document.

    :param file: its path, or where it came from.
    :param line: line number from 1, 0 if unknown.
    :param path: where in the document, such as ``$.classes[0].waiting_ms``.
    :param problem: what was expected, with the allowed range.
    :param value: the value found, shortened; empty if there is none.
    """

    file: str
    line: int
    path: str
    problem: str
    value: str = ""

    def __str__(self):
        place = f"{self.file}:{self.line}" if self.line else self.file
        found = f" (found: {self.value})" if self.value else ""
        return f"{place}: {self.path}: {self.problem}{found}"


def load_document(path, kind):
    """Read a file and check it.

    :param path: the YAML file.
    :param kind: the class of the document, a ``msgspec.Struct``.
    :returns: ``Success`` of the document or ``Failure`` of a :class:`DocumentError`.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        return Failure(DocumentError(str(path), 0, ROOT_PATH, f"can't be read: {error}"))
    return read_document(text, kind, str(path))


def read_document(text, kind, file="document"):
    """Check a YAML text.

    :param text: the document.
    :param kind: its class, a ``msgspec.Struct``.
    :param file: name for errors.
    :returns: ``Success`` of the document or ``Failure`` of a :class:`DocumentError`.
    """
    try:
        value = yaml.load(text, Loader=UniqueKeyLoader)
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        problem = f"not YAML: {getattr(error, 'problem', None) or error}"
        return Failure(DocumentError(file, mark.line + 1 if mark else 0, ROOT_PATH, problem))
    try:
        return Success(msgspec.convert(value, kind))
    except msgspec.ValidationError as error:
        return Failure(_describe_error(file, text, value, str(error)))


class UniqueKeyLoader(yaml.SafeLoader):
    """Refuses a mapping that states one key twice."""

    def construct_mapping(self, node, deep=False):
        """Build a mapping after its keys were compared."""
        seen = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)
            if key in seen:
                raise yaml.constructor.ConstructorError(
                    None, None, f"key {key!r} stands twice", key_node.start_mark
                )
            seen.add(key)
        return super().construct_mapping(node, deep)


def _describe_error(file, text, value, message):
    match = PATH_SUFFIX.match(message)
    path = match["path"] or ROOT_PATH
    steps = [name or index for name, index in PATH_STEP.findall(path)]
    found = _find_value(value, steps)
    shown = "" if isinstance(found, (dict, list)) else repr(found)[:MAX_VALUE_CHARACTERS]
    return DocumentError(file, _find_line(text, steps), path, match["problem"], shown)


def _find_value(value, steps):
    for step in steps:
        try:
            value = value[int(step)] if isinstance(value, list) else value[step]
        except (KeyError, IndexError, ValueError, TypeError):
            return value
    return value


def _find_line(text, steps):
    node = yaml.compose(text, Loader=yaml.SafeLoader)
    if node is None:
        return 0
    for step in steps:
        inner = _find_child(node, step)
        if inner is None:
            break
        node = inner
    return node.start_mark.line + 1


def _find_child(node, step):
    if isinstance(node, yaml.SequenceNode) and step.isdigit() and int(step) < len(node.value):
        return node.value[int(step)]
    if isinstance(node, yaml.MappingNode):
        for key, inner in node.value:
            if key.value == step:
                return inner
    return None
