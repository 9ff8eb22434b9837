"""Reading and validation of YAML documents, of process settings and of key files."""

from sassafrashook.settings._documents import (
    DocumentError,
    UniqueKeyLoader,
    load_document,
    read_document,
)
from sassafrashook.settings._keys import ApiKeys, KeyFileError, load_keys
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
    "KeyFileError",
    "KeyFiles",
    "ApiKeys",
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
