"""How old the configuration of a node may be, from the read that showed it to be the newest one."""

import math
from collections import deque

DEFAULT_APPLY_S = 2.0  # in a deployment that does not state it
MAX_REQUESTS = 64  # remembered of one subscriber


class RequestTimes:
    """Times of a subscriber's requests, on its own clock and on this controller's.

    A request that arrived before a read began was also sent before that. What the read has shown
    was therefore true at that time of the subscriber's clock, however long the request and the
    update took, and wherever a process was suspended meanwhile.

    >>> times = RequestTimes()
    >>> times.add(70_000, received_at=1.0)
    >>> times.add(70_500, received_at=1.5)
    >>> times.find_latest(1.2), times.find_latest(0.5)
    (70000, 0)
    """

    __slots__ = ("_requests",)

    def __init__(self):
        self._requests = deque(maxlen=MAX_REQUESTS)

    def add(self, sent_at_ms, received_at):
        """Add a request.

        :param sent_at_ms: when it was sent, in milliseconds on the subscriber's clock; 0 if the
            subscriber does not state it.
        :param received_at: when it arrived, in monotonic seconds.
        """
        if sent_at_ms:
            self._requests.append((received_at, sent_at_ms))

    def find_latest(self, until):
        """Return when the latest request was sent that arrived by a time, and forget earlier ones.

        :param until: monotonic seconds; not earlier than in the previous call.
        :returns: milliseconds on the subscriber's clock, 0 if there is none.
        """
        requests = self._requests
        while len(requests) > 1 and requests[1][0] <= until:
            requests.popleft()
        return requests[0][1] if requests and requests[0][0] <= until else 0


class ConfigurationAge:
    """What a node knows of the age of its configuration.

    All times are seconds on the node's own clock, which includes the time in which it is suspended.

    :param apply_s: time after its acknowledgement within which a version must be in force, in
        seconds.

    :ivar newest_version_: highest version that a controller has named.
    :ivar confirmed_at_: latest time at which no newer version than the node's was acknowledged.
    :ivar named_base_: version of the node for which it knows what a newer one changes.
    :ivar named_version_: the newer version.
    :ivar named_at_: latest time at which no newer version than that was acknowledged.

    >>> age = ConfigurationAge(apply_s=2.0)
    >>> age.record(7, newest_version=7, confirmed_at=100.0)
    >>> age.may_be_outdated(7, 101.9), age.may_be_outdated(7, 102.0)
    (False, True)
    >>> age.record(7, 8, confirmed_at=101.0, base_version=7, superseded=[11, 12])
    >>> age.is_affected(7, {12}, 102.0), age.is_affected(7, {13}, 102.0)
    (True, False)
    """

    def __init__(self, apply_s):
        self.apply_s = apply_s
        self.newest_version_ = 0
        self.confirmed_at_ = -math.inf
        self.named_base_ = 0
        self.named_version_ = 0
        self.named_at_ = -math.inf
        self._superseded = frozenset()

    def record(self, version, newest_version, confirmed_at, base_version=0, superseded=None):
        """Record what an update of a controller states.

        :param version: version that the node holds now.
        :param newest_version: version that the controller holds.
        :param confirmed_at: a time at which that was the newest one, -inf if none is known.
        :param base_version: version that ``superseded`` refers to.
        :param superseded: hashes of what must not be used of that version any more, ``None`` if
            that is not stated.
        """
        self.newest_version_ = max(self.newest_version_, newest_version)
        if newest_version <= version:
            self.confirmed_at_ = max(self.confirmed_at_, confirmed_at)
        elif superseded is not None and self._replaces_names(version, base_version, newest_version):
            self.named_base_ = base_version
            self.named_version_ = newest_version
            self.named_at_ = confirmed_at
            self._superseded = frozenset(superseded)
        elif newest_version == self.named_version_:
            self.named_at_ = max(self.named_at_, confirmed_at)

    def _replaces_names(self, version, base_version, newest_version):
        is_better = self.named_base_ != version or newest_version > self.named_version_
        return base_version == version and is_better

    def may_be_outdated(self, version, now):
        """Return whether there is, or may be, a newer version that has to be in force by now.

        A version that is known to be replaced counts as outdated at once.
        """
        return self.newest_version_ > version or now >= self.confirmed_at_ + self.apply_s

    def is_overdue(self, version, now):
        """Return whether a newer version is known that may have to be in force by now."""
        return self.newest_version_ > version and now >= self.confirmed_at_ + self.apply_s

    def is_affected(self, version, hashes, now):
        """Return whether a version must not be used for a request any more.

        That is so if a newer version may have to be in force by now, and it changes what the
        request depends on, or what it changes is not known.

        :param hashes: set of the hashes of the request's routes and API key.
        """
        if not self.is_overdue(version, now):
            return False
        if self.named_base_ != version or not self._superseded.isdisjoint(hashes):
            return True
        return self.newest_version_ > self.named_version_ and now >= self.named_at_ + self.apply_s
