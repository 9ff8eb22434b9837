"""Typed model of the operator configuration document."""

from enum import StrEnum
from typing import Annotated

import msgspec
from msgspec import Meta

from sassafrashook.messages import UpstreamKind

Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")]
Milliseconds = Annotated[int, Meta(ge=1, le=86_400_000)]


class Document(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base class of all parts of the document; rejects unknown keys."""


class WorkClass(Document):
    """Latency targets and priority of one class of requests.

    :param waiting_ms: target for the time to the first token or first response byte, milliseconds.
    :param completion_ms: target for the time to the complete response, milliseconds.
    :param priority: breaks ties between requests whose targets are equally close; the lowest
        number is served first.
    """

    name: Name
    waiting_ms: Milliseconds
    completion_ms: Milliseconds
    priority: Annotated[int, Meta(ge=0, le=9)] = 5


class Service(Document):
    """A service that routers forward requests to.

    :param kind: ``engine`` for the chat interface, ``plain`` for any HTTP service.
    :param path_prefix: request paths that belong to a plain service, such as ``/ledger``.
    :param models: names of the models that an engine service serves; the model named in a request
        selects the service.
    :param repeatable_methods: HTTP methods that may be retried; all others run at most once.
    :param lookup_path: path that returns the outcome of a call by its idempotency key, or empty.
    """

    name: Name
    kind: UpstreamKind
    path_prefix: Annotated[str, Meta(pattern=r"^(/[A-Za-z0-9._-]+)*$")] = ""
    models: list[str] = []
    repeatable_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
    lookup_path: str = ""


class ClientAccount(Document):
    """A client account.

    :param share: relative weight of the account when requests compete for capacity.
    """

    name: Name
    share: Annotated[float, Meta(gt=0, le=1_000_000)] = 1.0


class Configuration(Document):
    """The complete document. Weights and addresses of upstreams are not part of it.

    :param load_bound: the load of an engine is limited to this multiple of the mean load, rounded
        up.
    :param zone_deadline_ms: target for the time from draining a zone until no router sends it new
        requests, milliseconds; no component enforces it.
    :param default_class: work class of requests that do not name one.
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


def _check_unique(field, names):
    for name in names:
        if names.count(name) > 1:
            raise ValueError(f"{field}: {name!r} appears more than once")


class ZoneState(StrEnum):
    """Whether an availability zone receives new requests."""

    OPEN = "open"
    DRAINED = "drained"


class FleetState(Document):
    """The committed configuration together with drained zones and quarantined requests.

    :param revision: incremented by every committed change.
    :param drained_zones: sorted names of the availability zones that receive no new requests.
    :param quarantined: sorted fingerprints of the requests that every router refuses.
    """

    revision: int
    configuration: Configuration | None = None
    drained_zones: list[str] = []
    quarantined: list[int] = []
