"""Software versions that the upstreams of each service have run."""

import math

# A version is remembered for this time after the last upstream that ran it has gone. No client
# resumes a stream for longer.
RETENTION_S = 600.0


class SoftwareVersions:
    """Software versions by service, remembered for ``RETENTION_S`` after their last use.

    >>> versions = SoftwareVersions()
    >>> versions.record("advisor", "v1", now=0.0)
    >>> versions.record("advisor", "v1.1", now=599.0)
    >>> versions.list_versions("advisor", now=599.0), versions.list_versions("advisor", now=601.0)
    (['v1', 'v1.1'], ['v1.1'])
    """

    def __init__(self):
        self._last_used_at = {}

    def record(self, service, version, now):
        """Record that an upstream of a service runs a version.

        :param now: monotonic seconds.
        """
        used_at = self._last_used_at.setdefault(service, {})
        used_at[version] = max(now, used_at.get(version, -math.inf))

    def list_versions(self, service, now):
        """Return the sorted versions of a service that are remembered.

        :param now: monotonic seconds.
        """
        used_at = self._last_used_at.get(service, {})
        for version in [v for v, at in used_at.items() if now >= at + RETENTION_S]:
            del used_at[version]
        return sorted(used_at)

    def list_services(self):
        """Return the sorted names of all services."""
        return sorted(self._last_used_at)
