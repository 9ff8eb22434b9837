"""Typed form of the operators' configuration document."""

from enum import StrEnum
from typing import Annotated

import msgspec
from msgspec import Meta

from sassafrashook.messages import UpstreamKind

Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")]
Milliseconds = Annotated[int, Meta(ge=1, le=86_400_000)]


class Document(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of the parts of the document: unknown keys are refused."""


class WorkClass(Document):
    """A class of work and its targets.

    :param waiting_ms: target for the time until the first token or the answer's first byte.
    :param completion_ms: target for the time until the whole answer.
    :param priority: tie order among classes whose targets are equally near; smaller is first.
    """

    name: Name
    waiting_ms: Milliseconds
    completion_ms: Milliseconds
    priority: Annotated[int, Meta(ge=0, le=9)] = 5


class Service(Document):
    """A service that the system routes to.

    :param kind: ``engine`` for the chat interface, ``plain`` for any HTTP service.
    :param path_prefix: callers' paths that belong to a plain service, such as ``/ledger``.
    :param models: model names that select an engine service.
    :param repeatable_methods: methods that may be sent again; all others run at most once.
    :param lookup_path: path that tells the outcome of a call by its key, or empty.
    """

    name: Name
    kind: UpstreamKind
    path_prefix: Annotated[str, Meta(pattern=r"^(/[A-Za-z0-9._-]+)*$")] = ""
    models: list[str] = []
    repeatable_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
    lookup_path: str = ""


class ClientAccount(Document):
    """A client account.

    :param share: weight of its part of the capacity when it is scarce.
    """

    name: Name
    share: Annotated[float, Meta(gt=0, le=1_000_000)] = 1.0


class Configuration(Document):
    """The whole document. It names no weights or addresses of upstreams.

    :param load_bound: no engine carries more than this multiple of the mean load, rounded up.
    :param zone_deadline_ms: a zone taken out receives no new work after this.
    :param default_class: class of requests that name none.
    """

    classes: Annotated[list[WorkClass], Meta(min_length=1)]
    services: Annotated[list[Service], Meta(min_length=1)]
    accounts: list[ClientAccount] = []
    default_class: Name = "default"
    load_bound: Annotated[float, Meta(ge=1.0, le=10.0)] = 1.25
    zone_deadline_ms: Annotated[int, Meta(ge=1_000, le=60_000)] = 3_000

    def __post_init__(self):
        _check_unique("classes", [entry.name for entry in self.classes])
        _check_unique("services", [entry.name for entry in self.services])
        _check_unique("accounts", [entry.name for entry in self.accounts])
        _check_unique(
            "path_prefix", [entry.path_prefix for entry in self.services if entry.path_prefix]
        )
        _check_unique("models", [model for entry in self.services for model in entry.models])
        if self.default_class not in {entry.name for entry in self.classes}:
            raise ValueError(f"default_class {self.default_class!r} is not among the classes")
        for entry in self.services:
            if entry.kind is UpstreamKind.PLAIN and not entry.path_prefix:
                raise ValueError(f"plain service {entry.name!r} needs a path_prefix")


def _check_unique(what, names):
    for name in names:
        if names.count(name) > 1:
            raise ValueError(f"{what}: {name!r} stands twice")


class ZoneState(StrEnum):
    """Whether an availability zone takes new work."""

    OPEN = "open"
    DRAINED = "drained"


class FleetState(Document):
    """What is in force: the configuration and the zones that are taken out.

    :param revision: grows with every accepted change.
    :param drained_zones: names of availability zones that take no new work, sorted.
    :param quarantined: fingerprints of requests that are refused everywhere, sorted.
    """

    revision: int
    configuration: Configuration | None = None
    drained_zones: list[str] = []
    quarantined: list[int] = []
