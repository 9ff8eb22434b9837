"""Software versions that routers may use, because a majority of the controllers knows them."""


class EstablishedVersions:
    """Withholds upstreams of a new software version from routers until a majority knows it.

    A router that resumes a stream asks a majority of the controllers which versions its service
    has. No stream must have begun at a version that such a majority does not name.

    :param registry: the controller's :class:`~sassafrashook.registry.Registry`.
    """

    def __init__(self, registry):
        self.registry = registry
        self._established = set()
        self._pending = {}  # revision that a majority must hold, by service and version
        self._checked_revision = -1

    def restore(self, pairs):
        """Add the pairs of service and version that were known before a restart."""
        self._established.update(pairs)

    def update(self, has_majority):
        """Establish the versions that a majority of the controllers knows now.

        :param has_majority: called with a revision of the registry; returns whether a majority of
            the controllers holds it.
        :returns: list of the pairs of service and version that were established.
        """
        registry = self.registry
        if registry.revision_ != self._checked_revision:
            self._checked_revision = registry.revision_
            for registration in registry.registrations_.values():
                pair = (registration.service, registration.version)
                if pair not in self._established:
                    self._pending.setdefault(pair, registry.revision_)
        established = [pair for pair, revision in self._pending.items() if has_majority(revision)]
        for pair in established:
            del self._pending[pair]
            self._established.add(pair)
            for registration in list(registry.registrations_.values()):
                if (registration.service, registration.version) == pair:
                    registry.mark_changed(registration.upstream_id)
        return established

    def select_established(self, registrations):
        """Return those registrations whose software version is established."""
        return [r for r in registrations if (r.service, r.version) in self._established]
