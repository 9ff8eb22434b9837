"""Key files, and the lookup of names by key."""

from dataclasses import dataclass, field
from hashlib import sha256

import yaml
from returns.result import Failure, Success

MIN_KEY_CHARACTERS = 16


class KeyFileError(ValueError):
    """Raised for an invalid key file; the message names file and problem, never a key."""


@dataclass(slots=True)
class ApiKeys:
    """Maps keys to names.

    Keys are stored and compared as digests, so that a lookup reveals nothing about the other keys.

    :param names: mapping from the SHA-256 digest of a key to its name; ``None`` if no keys are
        configured.

    >>> ApiKeys.from_mapping({"shop": "0123456789abcdef"}).get("0123456789abcdef")
    'shop'
    """

    names: dict | None = field(default=None)

    @classmethod
    def from_mapping(cls, keys):
        """Return the :class:`ApiKeys` of a mapping from name to key."""
        return cls({_digest(key): name for name, key in keys.items()})

    def get(self, key):
        """Return the name that belongs to a key, or ``None`` if the key is unknown."""
        if self.names is None:
            return None
        return self.names.get(_digest(key))

    def __contains__(self, key):
        return self.get(key) is not None

    @property
    def are_required(self):
        """Whether keys are configured, so that callers must present one."""
        return self.names is not None


def load_keys(path, single_name=None):
    """Read a key file.

    :param path: path of the file, or ``None`` if no keys are configured.
    :param single_name: name for the key, if the file holds a single key instead of a YAML mapping.
    :returns: ``Success`` of :class:`ApiKeys` or ``Failure`` of a :class:`KeyFileError`.
    """
    if path is None:
        return Success(ApiKeys())
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
        entries = {single_name: text.strip()} if single_name else yaml.safe_load(text)
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        return Failure(KeyFileError(f"{path}: can't be read: {type(error).__name__}"))
    problem = _find_entry_error(entries)
    if problem:
        return Failure(KeyFileError(f"{path}: {problem}"))
    return Success(ApiKeys.from_mapping(entries))


def _find_entry_error(entries):
    if not isinstance(entries, dict) or not entries:
        return "must be a non-empty mapping from name to key"
    for name, key in entries.items():
        if not isinstance(name, str) or not isinstance(key, str):
            return f"entry {name!r}: name and key must be strings"
        if len(key) < MIN_KEY_CHARACTERS:
            return f"entry {name!r}: the key is shorter than {MIN_KEY_CHARACTERS} characters"
    if len(set(entries.values())) < len(entries):
        return "two names have the same key"
    return ""


def _digest(key):
    return sha256(key.encode()).digest()
