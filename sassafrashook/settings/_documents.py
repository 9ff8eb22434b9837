"""Converts YAML to typed documents; errors state file, line, path, value and allowed range."""

import re
from dataclasses import dataclass

import msgspec
import yaml
from returns.result import Failure, Success

ROOT_PATH = "$"
MESSAGE_PATTERN = re.compile(r"^(?P<problem>.*?)(?: - at `(?P<path>\$.*)`)?$", re.DOTALL)
PATH_STEP_PATTERN = re.compile(r"\.([A-Za-z0-9_-]+)|\[(\d+|\.\.\.)\]")
MAX_VALUE_CHARACTERS = 80


@dataclass(slots=True, frozen=True)
class DocumentError:
    """Describes an error in a document.

    :param file: path or other name of the document.
    :param line: line number, from 1; 0 if unknown.
    :param path: position in the document, such as ``$.classes[0].waiting_ms``.
    :param problem: the violated constraint, with the allowed range.
    :param value: the invalid value, truncated; empty if there is none.
    """

    file: str
    line: int
    path: str
    problem: str
    value: str = ""

    def __str__(self):
        location = f"{self.file}:{self.line}" if self.line else self.file
        found = f" (found: {self.value})" if self.value else ""
        return f"{location}: {self.path}: {self.problem}{found}"


def load_document(path, kind):
    """Read a YAML file and convert it to a typed document.

    :param path: path of the file.
    :param kind: class of the document, a ``msgspec.Struct``.
    :returns: ``Success`` of the document or ``Failure`` of a :class:`DocumentError`.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        return Failure(DocumentError(str(path), 0, ROOT_PATH, f"can't be read: {error}"))
    return parse_document(text, kind, str(path))


def parse_document(text, kind, file="document"):
    """Convert a YAML text to a typed document.

    :param text: the YAML text.
    :param kind: class of the document, a ``msgspec.Struct``.
    :param file: name of the document in errors.
    :returns: ``Success`` of the document or ``Failure`` of a :class:`DocumentError`.
    """
    try:
        value = yaml.load(text, Loader=UniqueKeyLoader)
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        problem = f"invalid YAML: {getattr(error, 'problem', None) or error}"
        return Failure(DocumentError(file, mark.line + 1 if mark else 0, ROOT_PATH, problem))
    try:
        return Success(msgspec.convert(value, kind))
    except msgspec.ValidationError as error:
        return Failure(_make_document_error(file, text, value, str(error)))


class UniqueKeyLoader(yaml.SafeLoader):
    """YAML loader that rejects duplicate keys in a mapping."""

    def construct_mapping(self, node, deep=False):
        """Construct a mapping.

        :raises ConstructorError: if two of its keys are equal.
        """
        seen = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)
            if key in seen:
                raise yaml.constructor.ConstructorError(
                    None, None, f"duplicate key {key!r}", key_node.start_mark
                )
            seen.add(key)
        return super().construct_mapping(node, deep)


def _make_document_error(file, text, value, message):
    match = MESSAGE_PATTERN.match(message)
    path = match["path"] or ROOT_PATH
    steps = [name or index for name, index in PATH_STEP_PATTERN.findall(path)]
    invalid = _find_value(value, steps)
    excerpt = "" if isinstance(invalid, (dict, list)) else repr(invalid)[:MAX_VALUE_CHARACTERS]
    return DocumentError(file, _find_line(text, steps), path, match["problem"], excerpt)


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
        child = _find_child(node, step)
        if child is None:
            break
        node = child
    return node.start_mark.line + 1


def _find_child(node, step):
    if isinstance(node, yaml.SequenceNode) and step.isdigit() and int(step) < len(node.value):
        return node.value[int(step)]
    if isinstance(node, yaml.MappingNode):
        for key, child in node.value:
            if key.value == step:
                return child
    return None
