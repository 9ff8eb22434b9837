"""Reads key files and compares keys."""

from dataclasses import dataclass, field
from hashlib import sha256

import yaml
from returns.result import Failure, Success

MIN_KEY_CHARACTERS = 16


class KeysError(ValueError):
    """A key file can't be used; the message names file and problem, never a key."""


@dataclass(slots=True)
class Keys:
    """Names by the digest of their key, so that looking one up tells nothing of the others.

    :param names: name by SHA-256 digest of its key; ``None`` if no keys are set.

    >>> Keys.make({"shop": "0123456789abcdef"}).get("0123456789abcdef")
    'shop'
    """

    names: dict | None = field(default=None)

    @classmethod
    def make(cls, keys):
        """Build from a mapping of name to key."""
        return cls({_digest(key): name for name, key in keys.items()})

    def get(self, key):
        """Return whose key it is, or ``None``."""
        if self.names is None:
            return None
        return self.names.get(_digest(key))

    def __contains__(self, key):
        return self.get(key) is not None

    @property
    def are_set(self):
        """Whether any keys are demanded."""
        return self.names is not None


def load_keys(path, single_name=None):
    """Read a key file.

    :param path: the file, or ``None`` for no keys.
    :param single_name: name of the one key that the file holds, instead of a YAML mapping.
    :returns: ``Success`` of :class:`Keys` or ``Failure`` of a :class:`KeysError`.
    """
    if path is None:
        return Success(Keys())
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
        entries = {single_name: text.strip()} if single_name else yaml.safe_load(text)
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        return Failure(KeysError(f"{path}: can't be read: {type(error).__name__}"))
    problem = _find_problem(entries)
    if problem:
        return Failure(KeysError(f"{path}: {problem}"))
    return Success(Keys.make(entries))


def _find_problem(entries):
    if not isinstance(entries, dict) or not entries:
        return "must be a mapping from name to key"
    for name, key in entries.items():
        if not isinstance(name, str) or not isinstance(key, str):
            return f"entry {name!r}: name and key must be text"
        if len(key) < MIN_KEY_CHARACTERS:
            return f"entry {name!r}: the key is shorter than {MIN_KEY_CHARACTERS} characters"
    if len(set(entries.values())) < len(entries):
        return "two names share one key"
    return ""


def _digest(key):
    return sha256(key.encode()).digest()
