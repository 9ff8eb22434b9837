"""Decision of one router on the software version of a stream that it does not know."""

from dataclasses import dataclass
from enum import StrEnum


class LookupSource(StrEnum):
    """What the version of a stream is known from.

    :cvar OWN: this router began the stream.
    :cvar RECORD: a controller has the record of the stream.
    :cvar ONLY_VERSION: the client names no request, and all services that may have begun the stream
        have had the same single version.
    :cvar UNKNOWN: the version is not known.
    """

    OWN = "own"
    RECORD = "record"
    ONLY_VERSION = "only_version"
    UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True)
class StreamOrigin:
    """Software version that began a stream.

    :param version: the version, ``None`` if it is not known.
    :param source: a :class:`LookupSource`.
    :param asked: number of controllers asked.
    :param replies: number of their replies.
    """

    version: str | None
    source: LookupSource
    asked: int = 0
    replies: int = 0


class VersionLookup:
    """Collects the replies of controllers to the question which version began a stream.

    The version of a stream that the client names is known from a record only. A network partition
    may hide other versions of the service even from a majority of the controllers, if it begins
    when the first upstream of such a version has registered.

    The version of another stream is known if all services that may have begun it have had the same
    single version. Each controller is asked once for each of them.

    :param controllers: names of the controllers that are asked.
    :param quorum: number of controllers that are a majority of all, whether asked or not.
    :param is_named: whether the client names the request that began the stream.
    :param services: names of the services that may have begun the stream. A record is found
        whatever the service, so one of them is enough if the client names the request.

    >>> lookup = VersionLookup(["c1", "c2"], quorum=2, is_named=True)
    >>> lookup.add_reply("c1", None, ["v1"], is_current=True)
    >>> lookup.is_decided()
    False
    >>> lookup.add_reply("c2", "v1.1", ["v1", "v1.1"], is_current=True)
    >>> lookup.is_decided(), lookup.decide().version
    (True, 'v1.1')
    """

    def __init__(self, controllers, quorum, is_named, services=("",)):
        self.controllers = frozenset(controllers)
        self.quorum = quorum
        self.is_named = is_named
        self.services = tuple(services)
        self._recorded = None
        self._replied = set()
        self._known_versions = set()
        self._current_replies = dict.fromkeys(self.services, 0)

    def add_reply(self, controller, recorded, known_versions, is_current, service=None):
        """Add a reply of a controller; repeated and unasked ones are ignored.

        :param controller: name of the controller.
        :param recorded: version in its record of the stream, ``None`` if it has none.
        :param known_versions: software versions of the service's upstreams that it knows, including
            those that have left.
        :param is_current: whether it is connected to a majority of the controllers.
        :param service: the service that it was asked for; the first one if omitted.
        """
        service = self.services[0] if service is None else service
        if controller not in self.controllers or (service, controller) in self._replied:
            return
        self._replied.add((service, controller))
        self._known_versions.update(known_versions)
        self._current_replies[service] += is_current
        if recorded is not None:
            self._recorded = recorded

    def list_missing(self, service=None):
        """Return the sorted names of the controllers that have not replied.

        :param service: as in :meth:`add_reply`.
        """
        service = self.services[0] if service is None else service
        return sorted(c for c in self.controllers if (service, c) not in self._replied)

    def is_decided(self):
        """Return whether no further replies need to be waited for."""
        has_all = len(self._replied) == len(self.controllers) * len(self.services)
        if self.is_named:
            return has_all or self._recorded is not None
        return has_all or len(self._known_versions) > 1 or self._find_only_version() is not None

    def decide(self):
        """Return the :class:`StreamOrigin` from the replies so far."""
        version, source = self._recorded, LookupSource.RECORD
        if not self.is_named:
            version, source = self._find_only_version(), LookupSource.ONLY_VERSION
        if version is None:
            source = LookupSource.UNKNOWN
        replied = {controller for _, controller in self._replied}
        return StreamOrigin(version, source, len(self.controllers), len(replied))

    def _find_only_version(self):
        """Return the only version that a majority of the controllers knows, or ``None``."""
        fewest = min(self._current_replies.values())
        if fewest < self.quorum or len(self._known_versions) != 1:
            return None
        return next(iter(self._known_versions))
