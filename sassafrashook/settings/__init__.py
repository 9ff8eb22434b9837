"""Reading and validation of YAML documents, of process settings and of key files."""

from sassafrashook.settings._documents import (
    DocumentError,
    UniqueKeyLoader,
    load_document,
    parse_document,
)
from sassafrashook.settings._keys import ApiKeys, KeyFileError, load_keys
from sassafrashook.settings._settings import (
    ControllerSettings,
    KeyFiles,
    ListenAddress,
    Peer,
    ProcessSettings,
    RouterSettings,
    TlsFiles,
    check_unsecured_endpoints,
)

__all__ = [
    "ControllerSettings",
    "DocumentError",
    "ListenAddress",
    "KeyFileError",
    "KeyFiles",
    "ApiKeys",
    "Peer",
    "ProcessSettings",
    "RouterSettings",
    "TlsFiles",
    "UniqueKeyLoader",
    "check_unsecured_endpoints",
    "load_document",
    "load_keys",
    "parse_document",
]
