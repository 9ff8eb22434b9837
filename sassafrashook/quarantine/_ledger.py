"""Evidence of which requests crash upstreams, merged to the same result on every node."""

import itertools
from collections import OrderedDict
from dataclasses import dataclass, replace

import msgspec

# Number of crashes, each with another request, at which a prompt part or a content is quarantined.
CRASH_LIMIT = 2
# Number of crashes at which a content is quarantined even if it is that of a single request. It is
# higher, because a resumed request breaks off twice if the other upstream crashes as well.
RESUMED_CRASH_LIMIT = 3
# A trait with a recently completed request is probably sound: in a series of crashes, requests of a
# popular prompt part break off at several upstreams before the next one completes.
SOUND_CRASH_LIMIT = 4
RECENT_COMPLETION_S = 10.0
SURPLUS_WEIGHT = 0.5  # of a request with a trait beyond one for each crash
# A quarantine after few crashes may be a mistake, so it soon admits requests again. One more crash
# then confirms it.
PROVISIONAL_QUARANTINE_S = 30.0
CONFIRMED_CRASHES = 3
CONFIRMED_QUARANTINE_S = 3_600.0
# Quarantine of a content that was running at several crashes which another trait explains, or which
# may have interrupted one request that was resumed. It ends after an upstream has restarted, so
# that a sound request can complete and clear the content.
SUSPECTED_QUARANTINE_S = 5.0
# Shortest time between two selections of the traits to quarantine, unless this node observes a
# crash itself: records of other nodes arrive in quick succession.
SELECTION_INTERVAL_S = 0.05
MAX_CRASHES = 256  # the oldest are dropped
MAX_REQUESTS_PER_CRASH = 256
MAX_COMPLETED_TRAITS = 20_000
MS_PER_S = 1_000


class CrashRecord(msgspec.Struct, frozen=True, array_like=True):
    """What nodes tell each other of the crash of one boot of an upstream.

    :param upstream_id: name of the upstream.
    :param boot_ms: start time of the boot, in Unix milliseconds.
    :param age_ms: time since the crash was detected, in milliseconds.
    :param requests: traits of each request that broke off; the last one is that of its content.
    :param cleared: traits of these requests that have completed since.
    :param origins: for each of ``requests``, the hash of its request id, which tells a resumed
        request from another one with the same content; 0 where it is not known.
    """

    upstream_id: str
    boot_ms: int
    age_ms: float
    requests: list[tuple[int, ...]]
    cleared: list[int] = []
    origins: list[int] = []

    def list_requests(self):
        """Return pairs of traits and origin of the requests that broke off."""
        pairs = itertools.zip_longest(self.requests, self.origins, fillvalue=0)
        return [(tuple(traits), origin) for traits, origin in pairs if traits]


@dataclass(slots=True, frozen=True)
class Quarantine:
    """Why a request must not be sent to any upstream.

    :param trait: the trait that crashes upstreams.
    :param crashes: keys of the upstream boots that crashed.
    :param until: monotonic seconds.
    """

    trait: int
    crashes: tuple
    until: float


class _Crash:
    """State of one crash.

    :ivar crashed_at: when it was detected, in monotonic seconds.
    :ivar requests: revision of the ledger at the last change of each request that broke off, by the
        pair of its traits and origin.
    :ivar cleared: the same of each trait that has completed since.
    :ivar revision: revision of the ledger at the last change of the crash.
    :ivar observed_requests: when this node observed that a request broke off, in monotonic seconds,
        by the pair of its traits and origin.
    :ivar observed_cleared: when this node observed a completed request, by its traits.
    """

    __slots__ = (
        "crashed_at",
        "requests",
        "cleared",
        "revision",
        "observed_requests",
        "observed_cleared",
    )

    def __init__(self, crashed_at):
        self.crashed_at = crashed_at
        self.requests = {}
        self.cleared = {}
        self.revision = 0
        self.observed_requests = {}
        self.observed_cleared = {}


class _Suspect:
    """A trait and the crashes that it has not been cleared of.

    :ivar requests_by_key: for each crash, set of pairs of content and origin of the requests with
        the trait that broke off.
    :ivar distance: largest number of more specific traits that a request has beside it.
    """

    __slots__ = ("trait", "requests_by_key", "distance")

    def __init__(self, trait, requests_by_key, distance):
        self.trait = trait
        self.requests_by_key = requests_by_key
        self.distance = distance

    def is_content(self):
        """Return whether the trait is the content of a whole request."""
        return self.distance == 0

    def count_contents(self, keys):
        """Return the number of different contents with the trait that broke off in some crashes."""
        return len({content for key in keys for content, _ in self.requests_by_key[key]})

    def count_origins(self, keys):
        """Return the number of different requests with the trait that broke off in some crashes."""
        return len({origin for key in keys for _, origin in self.requests_by_key[key]})


class CrashLedger:
    """Records which traits were running at crashes, and which of these have completed since.

    A request that crashes upstreams never completes, and is running at each crash that it causes.
    So of the traits that have not completed since, the likeliest one is taken for the cause of all
    crashes at which it was running, and the others are suspected only if crashes remain at which
    they were running. For a content, all of its crashes then count, for a prompt part the remaining
    ones.
    Records of several nodes are merged in any order to the same result, because nothing is ever
    removed from a record.

    :ivar revision_: number that increases with each change that is propagated to other nodes.
    :ivar quarantines_: the :class:`Quarantine` of each quarantined trait, as last selected.

    >>> ledger = CrashLedger()
    >>> for boot in (1, 2):
    ...     _ = ledger.merge(CrashRecord("u", boot, 0.0, [(5, 7, boot)]), now=0.0)
    >>> ledger.find_quarantine((5, 7, 3), now=0.1).trait
    7
    >>> ledger.find_quarantine((5, 8, 4), now=0.1) is None
    True
    """

    def __init__(self):
        self.revision_ = 0
        self._crashes = OrderedDict()
        self._requests_by_trait = {}
        self._distance_by_trait = {}
        self._completed_at = OrderedDict()
        self.quarantines_ = {}
        self._selected_revision = 0
        self._selected_at = float("-inf")

    def record_crash(self, key, requests, origins, now):
        """Record a crash that this node observed.

        :param key: key of the upstream's boot.
        :param requests: traits of each request that broke off.
        :param origins: hash of the request id of each of them.
        :param now: monotonic seconds.
        """
        record = CrashRecord(*key, 0.0, requests, origins=origins)
        self.merge(record, now)
        observed = self._crashes[key].observed_requests
        for request in record.list_requests():
            observed.setdefault(request, now)
        self._selected_at = float("-inf")

    def merge(self, record, now):
        """Merge a record of another node.

        :param record: a :class:`CrashRecord`.
        :param now: monotonic seconds.
        :returns: whether the change has to be propagated to other nodes.
        """
        self._expire(now)
        key = (record.upstream_id, record.boot_ms)
        crash = self._crashes.get(key)
        is_new = crash is None
        if is_new:
            crash = self._crashes[key] = _Crash(now - record.age_ms / MS_PER_S)
            while len(self._crashes) > MAX_CRASHES:
                self._remove(next(iter(self._crashes)))
        free = max(0, MAX_REQUESTS_PER_CRASH - len(crash.requests))
        added = [pair for pair in record.list_requests() if pair not in crash.requests][:free]
        cleared = set(record.cleared) - crash.cleared.keys()
        for traits, origin in added:
            crash.requests[traits, origin] = 0
            self._add_request(traits, origin, key)
            cleared.update(
                trait
                for trait in traits
                if self._completed_at.get(trait, float("-inf")) > crash.crashed_at
                and trait not in crash.cleared
            )
        if is_new or added or cleared:
            self._mark_changed(key, added, cleared)
        return bool(is_new or added or cleared)

    def _add_request(self, traits, origin, key):
        for distance, trait in enumerate(reversed(traits)):
            requests_by_key = self._requests_by_trait.setdefault(trait, {})
            if len(requests_by_key) == 1 and key not in requests_by_key:
                # The trait is now repeated, so routers need to know of its first crash.
                self._mark_repeated(trait, next(iter(requests_by_key)))
            requests_by_key.setdefault(key, set()).add((traits[-1], origin))
            known_distance = self._distance_by_trait.get(trait, 0)
            self._distance_by_trait[trait] = max(known_distance, distance)

    def _mark_repeated(self, trait, key):
        crash = self._crashes[key]
        requests = [request for request in crash.requests if trait in request[0]]
        self._mark_changed(key, requests, [trait] if trait in crash.cleared else ())

    def _mark_changed(self, key, requests=(), cleared=()):
        """Assign a new revision to a crash and to some of its requests and cleared traits."""
        self.revision_ += 1
        crash = self._crashes[key]
        crash.revision = self.revision_
        crash.requests.update(dict.fromkeys(requests, self.revision_))
        crash.cleared.update(dict.fromkeys(cleared, self.revision_))

    def record_completion(self, traits, now):
        """Record that a request completed, which clears its traits of all known crashes.

        :param traits: traits of the request.
        :param now: monotonic seconds.
        :returns: the traits that were cleared.
        """
        cleared = {}
        for trait in traits:
            self._completed_at[trait] = now
            self._completed_at.move_to_end(trait)
            for key in self._requests_by_trait.get(trait, ()):
                crash = self._crashes[key]
                if trait not in crash.cleared:
                    crash.observed_cleared[trait] = now
                    self._mark_changed(key, cleared=[trait])
                    cleared[trait] = None
        while len(self._completed_at) > MAX_COMPLETED_TRAITS:
            self._completed_at.popitem(last=False)
        return list(cleared)

    def find_quarantine(self, traits, now, get_trial_delay_s=None):
        """Return why a request must not be sent to an upstream.

        Once a quarantine is over, the routers admit the trait again one after another.

        :param traits: traits of the request.
        :param now: monotonic seconds.
        :param get_trial_delay_s: called with a suspected trait; returns how much later than other
            routers this one admits it again, in seconds. ``None`` for no delay.
        :returns: a :class:`Quarantine`, or ``None`` if the request may be sent.
        """
        for quarantine in self._list_quarantines(traits, now):
            delay_s = get_trial_delay_s(quarantine.trait) if get_trial_delay_s is not None else 0.0
            if now < quarantine.until + delay_s:
                return replace(quarantine, until=quarantine.until + delay_s)
        return None

    def is_suspected(self, traits, now):
        """Return whether a request might crash the upstream that runs it, quarantined or not.

        :param traits: traits of the request.
        :param now: monotonic seconds.
        """
        return bool(self._list_quarantines(traits, now))

    def _list_quarantines(self, traits, now):
        """Return each :class:`Quarantine` of a trait of a request, including those that are over.

        The content of a request with a prompt comes again only if its client resumes a stream, so
        that it is not suspected after a single crash.
        """
        if (
            self._selected_revision != self.revision_
            and now >= self._selected_at + SELECTION_INTERVAL_S
        ):
            self._selected_revision, self._selected_at = self.revision_, now
            self.quarantines_ = self._select_quarantines(now)
        relevant = [self.quarantines_[trait] for trait in traits if trait in self.quarantines_]
        if not relevant and len(traits) == 1:
            relevant = self._list_suspicions(traits[0], now)
        return relevant

    def _list_suspicions(self, content, now):
        """Return the :class:`Quarantine` of a content that has not caused any crash for certain.

        It is over at once unless the content was running at several crashes.

        :returns: list of one item if the content was running at a crash, else an empty list.
        """
        keys = [
            key
            for key in self._requests_by_trait.get(content, ())
            if content not in self._crashes[key].cleared
        ]
        if not keys or self._has_completed_recently(content, now):
            return []
        duration_s = SUSPECTED_QUARANTINE_S if len(keys) >= CRASH_LIMIT else 0.0
        crashed_at = max(self._crashes[key].crashed_at for key in keys)
        return [Quarantine(content, tuple(keys), crashed_at + duration_s)]

    def _has_completed_recently(self, trait, now):
        return now < self._completed_at.get(trait, float("-inf")) + RECENT_COMPLETION_S

    def _select_quarantines(self, now):
        """Attribute the crashes to as few traits as possible.

        :returns: the :class:`Quarantine` of each trait to which enough crashes are attributed.
        """
        suspects = self._list_suspects()
        unexplained = set(self._crashes)
        quarantines = {}
        while True:
            ranked = [(self._rank(suspect, unexplained, now), suspect) for suspect in suspects]
            rank, suspect = max(
                (pair for pair in ranked if pair[0] is not None),
                key=lambda pair: pair[0],
                default=(None, None),
            )
            if rank is None:
                return quarantines
            keys = tuple(suspect.requests_by_key)
            unexplained.difference_update(keys)
            is_confirmed = len(keys) >= CONFIRMED_CRASHES
            duration_s = CONFIRMED_QUARANTINE_S if is_confirmed else PROVISIONAL_QUARANTINE_S
            until = max(self._crashes[key].crashed_at for key in keys) + duration_s
            quarantines[suspect.trait] = Quarantine(suspect.trait, keys, until)

    def _list_suspects(self):
        """Return a :class:`_Suspect` for each trait with at least two crashes not cleared."""
        suspects = []
        for trait, requests_by_key in self._requests_by_trait.items():
            if len(requests_by_key) < CRASH_LIMIT:
                continue
            suspected = {
                key: requests
                for key, requests in requests_by_key.items()
                if trait not in self._crashes[key].cleared
            }
            if len(suspected) >= CRASH_LIMIT:
                suspects.append(_Suspect(trait, suspected, self._distance_by_trait[trait]))
        return suspects

    def _rank(self, suspect, unexplained, now):
        """Return a sort key of a suspect, the greatest is the most likely cause.

        A trait that crashes upstreams seldom runs more than once at an upstream, while a popular
        one runs several times at any upstream that crashes. So each request beyond one for each
        crash counts against a trait. Of traits alike in this, the rarest and most specific one
        comes first.

        :returns: tuple, or ``None`` if there is too little evidence.
        """
        unexplained_keys = [key for key in suspect.requests_by_key if key in unexplained]
        # Few requests have the same content, so a content that was running at several crashes is
        # suspicious even if another trait explains some of them. A part of a prompt is not.
        keys = suspect.requests_by_key if suspect.is_content() else unexplained_keys
        if not unexplained_keys or not self._has_evidence(suspect, keys, now):
            return None
        contents = suspect.count_contents(unexplained_keys)
        surplus = max(0, contents - len(unexplained_keys))
        likelihood = len(unexplained_keys) - surplus * SURPLUS_WEIGHT
        origins = suspect.count_origins(keys)
        is_part = not suspect.is_content()
        return (likelihood, is_part, -contents, origins, -suspect.distance, suspect.trait)

    def _has_evidence(self, suspect, keys, now):
        """Return whether a suspect was running at enough crashes, each with another request."""
        has_completed = self._has_completed_recently(suspect.trait, now)
        if not suspect.is_content():
            limit = SOUND_CRASH_LIMIT if has_completed else CRASH_LIMIT
            return min(len(keys), suspect.count_contents(keys)) >= limit
        if has_completed:
            return len(keys) >= SOUND_CRASH_LIMIT
        independent = min(len(keys), suspect.count_origins(keys))
        return independent >= CRASH_LIMIT or len(keys) >= RESUMED_CRASH_LIMIT

    def list_changes(self, revision, now):
        """Return what has changed after a revision, as records of the crashes concerned.

        :param revision: the last revision that the receiver has.
        :param now: monotonic seconds.
        """
        records = []
        for key, crash in self._crashes.items():
            if crash.revision > revision:
                requests = [request for request, at in crash.requests.items() if at > revision]
                cleared = [trait for trait, at in crash.cleared.items() if at > revision]
                records.append(self._make_record(key, requests, cleared, now))
        return records

    def list_changes_for_routers(self, revision, now):
        """Return what has changed after a revision, limited to what routers decide by.

        Only traits of at least two crashes can be quarantined, and contents of requests without a
        prompt are suspected after one. A request without any is left out, of the others the content
        remains as well.

        :param revision: the last revision that the receiver has.
        :param now: monotonic seconds.
        """
        records = []
        for record in self.list_changes(revision, now):
            requests = {
                (self._select_for_routers(t), origin) for t, origin in record.list_requests()
            }
            requests = {(traits, origin) for traits, origin in requests if traits}
            key = (record.upstream_id, record.boot_ms)
            cleared = [trait for trait in record.cleared if self._concerns_routers(trait, key)]
            if requests or cleared:
                records.append(
                    msgspec.structs.replace(record, **_encode_requests(requests), cleared=cleared)
                )
        return records

    def list_observed(self, since, now):
        """Return what this node observed itself at or after a time, as records of the crashes.

        :param since: monotonic seconds.
        :param now: monotonic seconds.
        """
        records = []
        for key, crash in self._crashes.items():
            requests = [request for request, at in crash.observed_requests.items() if at >= since]
            cleared = [trait for trait, at in crash.observed_cleared.items() if at >= since]
            if requests or cleared:
                records.append(self._make_record(key, requests, cleared, now))
        return records

    def _concerns_routers(self, trait, key):
        """Return whether routers decide by a trait, because of the requests of a crash."""
        return self._is_repeated(trait) or any(
            traits == (trait,) for traits, _ in self._crashes[key].requests
        )

    def _is_repeated(self, trait):
        return len(self._requests_by_trait.get(trait, ())) > 1

    def _select_for_routers(self, traits):
        if len(traits) == 1:
            return traits
        parts = tuple(trait for trait in traits[:-1] if self._is_repeated(trait))
        return (*parts, traits[-1]) if parts or self._is_repeated(traits[-1]) else ()

    def _make_record(self, key, requests, cleared, now):
        age_ms = (now - self._crashes[key].crashed_at) * MS_PER_S
        return CrashRecord(*key, age_ms, **_encode_requests(requests), cleared=sorted(cleared))

    def _expire(self, now):
        """Remove the crashes that no quarantine can be based on any more."""
        for key, crash in list(self._crashes.items()):
            if now >= crash.crashed_at + CONFIRMED_QUARANTINE_S:
                self._remove(key)

    def _remove(self, key):
        crash = self._crashes.pop(key)
        self.revision_ += 1
        for trait in {trait for traits, _ in crash.requests for trait in traits}:
            requests_by_key = self._requests_by_trait.get(trait, {})
            requests_by_key.pop(key, None)
            if not requests_by_key:
                self._requests_by_trait.pop(trait, None)
                self._distance_by_trait.pop(trait, None)


def _encode_requests(pairs):
    """Return the fields of a :class:`CrashRecord` for pairs of traits and origin."""
    ordered = sorted(pairs)
    return {
        "requests": [traits for traits, _ in ordered],
        "origins": [origin for _, origin in ordered],
    }
