"""Checked YAML documents: each process's settings and the operators' configuration."""

from sassafrashook.settings._documents import (
    DocumentError,
    UniqueKeyLoader,
    load_document,
    read_document,
)
from sassafrashook.settings._keys import Keys, KeysError, load_keys
from sassafrashook.settings._settings import (
    ControllerSettings,
    Endpoint,
    KeyFiles,
    Peer,
    ProcessSettings,
    RouterSettings,
    TlsFiles,
    check_exposure,
)

__all__ = [
    "ControllerSettings",
    "DocumentError",
    "Endpoint",
    "KeyFiles",
    "Keys",
    "KeysError",
    "Peer",
    "ProcessSettings",
    "RouterSettings",
    "TlsFiles",
    "UniqueKeyLoader",
    "check_exposure",
    "load_document",
    "load_keys",
    "read_document",
]
