"""All registrations, as a set that merges in any order to the same result."""

import math

import msgspec

from sassafrashook.registry._entries import Registration, RegistrationState

LAST_SEQUENCE = 2**62
KEEP_LEFT_S = 300.0  # longer than a delayed heartbeat may take
COLD_CHANGE_S = 0.3  # smaller moves of the end of a warm-up are not worth spreading
MS_PER_S = 1_000
MAX_ENTRIES = 100_000
USABLE_STATES = (RegistrationState.RECALLED, RegistrationState.READY, RegistrationState.SILENT)


class Registry:
    """Registrations by upstream, each with the time it was heard.

    A registration is replaced only by a newer one: a later boot, or the same boot with a higher
    sequence number. So an old heartbeat changes nothing, wherever and whenever it arrives.

    :param silent_s: an upstream is held to be silent after this time without a heartbeat.
    :param leave_s: one that left without draining first still serves for this time.

    :ivar revision_: rises with each change that others have to know.
    :ivar entries_: registrations by upstream.

    >>> registry = Registry(silent_s=4.0)
    >>> ready = Registration("a", 5, 1, RegistrationState.READY, "advisor", "10.0.0.1", 80)
    >>> registry.merge(ready, now=0.0), registry.merge(ready, now=1.0)
    (True, False)
    """

    def __init__(self, silent_s, leave_s=0.0):
        self.silent_s = silent_s
        self.leave_s = leave_s
        self.revision_ = 0
        self.entries_ = {}
        self.heard_at_ = {}
        self.cold_until_ = {}
        self._serves_until = {}
        self._changed = {}

    def merge(self, entry, now):
        """Take a registration, own or another node's.

        :param entry: a :class:`Registration`.
        :param now: monotonic seconds.
        :returns: whether it changed what others have to know.
        """
        known = self.entries_.get(entry.upstream_id)
        if known is not None and entry.order <= known.order:
            return False
        if known is None and len(self.entries_) >= MAX_ENTRIES:
            return False
        cold_until = now + entry.cold_ms / MS_PER_S
        changed = self._is_change(known, entry, cold_until, now)
        if entry.state == RegistrationState.LEFT and known is not None and not known.is_leaving:
            self._serves_until[entry.upstream_id] = now + self.leave_s
        self.entries_[entry.upstream_id] = entry
        self.heard_at_[entry.upstream_id] = now
        self.cold_until_[entry.upstream_id] = cold_until
        if changed:
            self.revision_ += 1
            self._changed[entry.upstream_id] = self.revision_
        return changed

    def _is_change(self, known, entry, cold_until, now):
        if known is None or known.boot_ms != entry.boot_ms or known.state != entry.state:
            return True
        if (known.service, known.address, known.slots) != (
            entry.service,
            entry.address,
            entry.slots,
        ):
            return True
        moved = abs(cold_until - self.cold_until_[entry.upstream_id])
        return max(cold_until, self.cold_until_[entry.upstream_id]) > now and moved > COLD_CHANGE_S

    def remove(self, upstream_id, now, wall_ms):
        """Take an upstream's word that it has left.

        :param wall_ms: Unix milliseconds, the boot of an upstream that was never heard of.
        :returns: whether that was news.
        """
        known = self.entries_.get(upstream_id)
        if known is None:
            known = Registration(upstream_id, wall_ms, 0, RegistrationState.LEFT)
        left = msgspec.structs.replace(
            known, sequence=LAST_SEQUENCE, state=RegistrationState.LEFT, cold_ms=0.0
        )
        return self.merge(left, now)

    def recall(self, entries, valid_s, now):
        """Take registrations that this node knew before it stopped.

        :param entries: iterable of :class:`Registration`.
        :param valid_s: how long those that were ready count without a heartbeat.
        """
        for entry in entries:
            if entry.is_leaving:
                self.merge(msgspec.structs.replace(entry, cold_ms=0.0), now)
            elif entry.state != RegistrationState.SILENT:
                state, cold_ms = RegistrationState.RECALLED, valid_s * MS_PER_S
                self.merge(msgspec.structs.replace(entry, state=state, cold_ms=cold_ms), now)

    def note_heartbeat(self, upstream_id, boot_ms, sequence, now):
        """Take another node's word that it heard an upstream."""
        known = self.entries_.get(upstream_id)
        if known is None or known.boot_ms != boot_ms or sequence <= known.sequence:
            return
        if known.state == RegistrationState.RECALLED:
            return  # whether it is cold is told only by the registration itself
        if known.state == RegistrationState.SILENT:
            ready = RegistrationState.READY
            heard = msgspec.structs.replace(known, sequence=sequence, state=ready, cold_ms=0.0)
            self.merge(heard, now)
            return
        self.entries_[upstream_id] = msgspec.structs.replace(known, sequence=sequence)
        self.heard_at_[upstream_id] = now

    def expire(self, now):
        """Mark upstreams that fell silent, and forget those that left long ago.

        :returns: names of the upstreams that were marked.
        """
        silent = []
        for name, entry in list(self.entries_.items()):
            heard_at = self.heard_at_[name]
            if entry.state == RegistrationState.LEFT:
                if now >= heard_at + KEEP_LEFT_S:
                    self._forget(name)
            elif entry.state == RegistrationState.READY and now >= heard_at + self.silent_s:
                self.merge(msgspec.structs.replace(entry, state=RegistrationState.SILENT), now)
                silent.append(name)
        return silent

    def forget_recalled(self, now):
        """Forget recalled upstreams that were not heard again in time; :returns: their names."""
        forgotten = [
            name
            for name, entry in self.entries_.items()
            if entry.state == RegistrationState.RECALLED and now >= self.cold_until_[name]
        ]
        for name in forgotten:
            self._forget(name)
        return forgotten

    def _forget(self, name):
        tables = (self.entries_, self.heard_at_, self.cold_until_, self._serves_until)
        for table in (*tables, self._changed):
            table.pop(name, None)

    def list_changes(self, revision, now):
        """Return the registrations that changed after a revision, with the warm-up left now."""
        names = [name for name, changed in self._changed.items() if changed > revision]
        return [self._rebase(name, now) for name in names]

    def _rebase(self, name, now):
        entry = self.entries_[name]
        cold_ms = max(0.0, (self.cold_until_[name] - now) * MS_PER_S)
        return msgspec.structs.replace(entry, cold_ms=cold_ms)

    def list_usable(self):
        """Return the registrations that may get requests, one for each address.

        Of two at one address the later boot holds it: the earlier one crashed without a word.
        """
        by_address = {}
        for entry in self.entries_.values():
            if entry.state == RegistrationState.LEFT:
                continue
            held = by_address.get(entry.address)
            if held is None or entry.boot_ms > held.boot_ms:
                by_address[entry.address] = entry
        return [entry for entry in by_address.values() if entry.state in USABLE_STATES]

    def list_leaving(self, now):
        """Return the registrations of upstreams that get nothing new and still run.

        :returns: list of pairs of registration and monotonic seconds until which it surely runs.
        """
        leaving = []
        for name, entry in self.entries_.items():
            if entry.state == RegistrationState.DRAINING:
                leaving.append((entry, math.inf))
            elif entry.state == RegistrationState.LEFT:
                until = self._serves_until.get(name, now)
                if now < until:
                    leaving.append((entry, until))
        return leaving
