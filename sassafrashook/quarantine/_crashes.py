"""Detection of crashed upstreams by one router."""

from dataclasses import dataclass

# A connection attempt that is refused this long after a connection broke confirms the crash. Failed
# attempts and probes follow sooner, and an upstream takes longer to restart.
CONFIRMATION_S = 2.0
CRASH_RETENTION_S = 10.0  # requests that break off at a crashed boot later than this don't count
MAX_INTERRUPTED = 256  # per boot; the oldest are dropped


@dataclass(slots=True, frozen=True)
class InterruptedRequest:
    """A request whose connection the upstream closed while it was running.

    :param request_id: identifier of the request.
    :param traits: its traits, see :func:`~sassafrashook.quarantine.compute_traits`.
    :param interrupted_at: monotonic seconds.
    """

    request_id: str
    traits: tuple
    interrupted_at: float


class CrashDetector:
    """Attributes interrupted requests to crashes of upstream boots.

    A broken connection alone is no crash: a host or the network may have reset it. The boot has
    crashed if its host also refuses connections at about the same time.

    >>> detector = CrashDetector()
    >>> detector.record_interruption(("u", 1), "a", (7,), now=0.0)
    []
    >>> [request.request_id for request in detector.record_refused_connection(("u", 1), now=0.2)]
    ['a']
    """

    def __init__(self):
        self._interrupted = {}
        self._crashed_at = {}

    def record_interruption(self, key, request_id, traits, now):
        """Record that an upstream closed the connection of a running request.

        :param key: key of the upstream's boot.
        :param request_id: identifier of the request.
        :param traits: traits of the request.
        :param now: monotonic seconds.
        :returns: list of the :class:`InterruptedRequest` that a crash interrupted; empty unless the
            crash is already confirmed.
        """
        self._expire(now)
        requests = self._interrupted.setdefault(key, [])
        requests.append(InterruptedRequest(request_id, traits, now))
        del requests[:-MAX_INTERRUPTED]
        return self._take_interrupted(key) if key in self._crashed_at else []

    def record_refused_connection(self, key, now):
        """Record that an upstream's host refused a connection.

        :param key: key of the upstream's boot.
        :param now: monotonic seconds.
        :returns: list of the :class:`InterruptedRequest` that the crash interrupted and that were
            not returned before; empty if it is no known crash.
        """
        self._expire(now)
        requests = self._take_interrupted(key)
        if requests:
            self._crashed_at.setdefault(key, now)
        return requests

    def _take_interrupted(self, key):
        return self._interrupted.pop(key, [])

    def _expire(self, now):
        for key, requests in list(self._interrupted.items()):
            recent = [r for r in requests if now < r.interrupted_at + CONFIRMATION_S]
            if recent:
                self._interrupted[key] = recent
            else:
                del self._interrupted[key]
        for key, crashed_at in list(self._crashed_at.items()):
            if now >= crashed_at + CRASH_RETENTION_S:
                del self._crashed_at[key]
