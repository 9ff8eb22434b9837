"""Registry of upstreams, a last-writer-wins map that merges alike in any order of arrival."""

import math

import msgspec

from sassafrashook.registry._entries import Registration, RegistrationState
from sassafrashook.registry._versions import SoftwareVersions

MAX_SEQUENCE = 2**62
# Time for which an upstream that left is remembered; longer than a heartbeat can be delayed.
LEFT_RETENTION_S = 300.0
MIN_COLD_CHANGE_S = 0.3  # smaller changes of the end of a warm-up are not propagated
MS_PER_S = 1_000
MAX_REGISTRATIONS = 100_000
USABLE_STATES = (RegistrationState.RECALLED, RegistrationState.READY, RegistrationState.SILENT)


class Registry:
    """Newest registration of each upstream, with the time it was received.

    A registration is replaced only by a newer one: a later boot, the same boot with a higher
    sequence number, or the same boot and sequence number with a higher state. An old heartbeat
    therefore changes nothing, whenever and wherever it arrives.

    :param silence_timeout_s: time without a heartbeat after which an upstream is marked silent,
        in seconds.
    :param leave_grace_s: time for which an upstream that left without draining first keeps
        running, in seconds.

    :ivar revision_: number that increases with each change that is propagated to other nodes.
    :ivar registrations_: registrations by upstream name.
    :ivar heard_at_: time of the last merged registration or remote heartbeat by upstream name, in
        monotonic seconds.
    :ivar cold_until_: end of the warm-up by upstream name, in monotonic seconds; for a recalled
        registration, the time at which it expires.

    >>> registry = Registry(silence_timeout_s=4.0)
    >>> ready = Registration("a", 5, 1, RegistrationState.READY, "advisor", "10.0.0.1", 80)
    >>> registry.merge(ready, now=0.0), registry.merge(ready, now=1.0)
    (True, False)
    """

    def __init__(self, silence_timeout_s, leave_grace_s=0.0):
        self.silence_timeout_s = silence_timeout_s
        self.leave_grace_s = leave_grace_s
        self.revision_ = 0
        self.registrations_ = {}
        self.heard_at_ = {}
        self.cold_until_ = {}
        self._runs_until = {}
        self._changed_revisions = {}
        self._past_versions = SoftwareVersions()

    def merge(self, registration, now):
        """Merge a registration received from its upstream or from another node.

        New upstreams are ignored if there are ``MAX_REGISTRATIONS`` already.

        :param registration: a :class:`Registration`.
        :param now: monotonic seconds.
        :returns: whether the change has to be propagated to other nodes.
        """
        known = self.registrations_.get(registration.upstream_id)
        if known is not None and registration.precedence <= known.precedence:
            if registration.version != known.version:
                self._past_versions.record(registration.service, registration.version, now)
            return False
        if known is None and len(self.registrations_) >= MAX_REGISTRATIONS:
            return False
        cold_until = now + registration.cold_ms / MS_PER_S
        changed = self._needs_propagation(known, registration, cold_until, now)
        if known is not None:
            self._past_versions.record(known.service, known.version, now)
        if (
            registration.state == RegistrationState.LEFT
            and known is not None
            and not known.is_closed_to_requests
        ):
            self._runs_until[registration.upstream_id] = now + self.leave_grace_s
        self.registrations_[registration.upstream_id] = registration
        self.heard_at_[registration.upstream_id] = now
        self.cold_until_[registration.upstream_id] = cold_until
        if changed:
            self.mark_changed(registration.upstream_id)
        return changed

    def mark_changed(self, upstream_id):
        """Have a registration sent to other nodes again."""
        self.revision_ += 1
        self._changed_revisions[upstream_id] = self.revision_

    def _needs_propagation(self, known, registration, cold_until, now):
        if (
            known is None
            or known.boot_ms != registration.boot_ms
            or known.state != registration.state
        ):
            return True
        if (known.service, known.address, known.slots) != (
            registration.service,
            registration.address,
            registration.slots,
        ):
            return True
        change_s = abs(cold_until - self.cold_until_[registration.upstream_id])
        return (
            max(cold_until, self.cold_until_[registration.upstream_id]) > now
            and change_s > MIN_COLD_CHANGE_S
        )

    def mark_left(self, upstream_id, now, unix_ms):
        """Mark an upstream as left at its own request.

        Its sequence number becomes ``MAX_SEQUENCE``, so that no heartbeat of the same boot can
        replace this state.

        :param upstream_id: name of the upstream.
        :param now: monotonic seconds.
        :param unix_ms: current time in Unix milliseconds, used as the boot time of an unknown
            upstream.
        :returns: whether the change has to be propagated to other nodes.
        """
        known = self.registrations_.get(upstream_id)
        if known is None:
            known = Registration(upstream_id, unix_ms, 0, RegistrationState.LEFT)
        left = msgspec.structs.replace(
            known, sequence=MAX_SEQUENCE, state=RegistrationState.LEFT, cold_ms=0.0
        )
        return self.merge(left, now)

    def recall(self, registrations, valid_s, now):
        """Restore registrations that this node saved before it stopped.

        Ready ones become ``RECALLED``, draining ones and those that left keep their state, and
        silent ones are ignored.

        :param registrations: iterable of :class:`Registration`.
        :param valid_s: time after which recalled registrations expire unless a heartbeat renews
            them, in seconds.
        :param now: monotonic seconds.
        """
        for registration in registrations:
            self._past_versions.record(registration.service, registration.version, now)
            if registration.is_closed_to_requests:
                self.merge(msgspec.structs.replace(registration, cold_ms=0.0), now)
            elif registration.state != RegistrationState.SILENT:
                state, cold_ms = RegistrationState.RECALLED, valid_s * MS_PER_S
                self.merge(msgspec.structs.replace(registration, state=state, cold_ms=cold_ms), now)

    def apply_remote_heartbeat(self, upstream_id, boot_ms, sequence, now):
        """Record a heartbeat that another node received.

        :param upstream_id: name of the upstream.
        :param boot_ms: boot of the upstream, in Unix milliseconds.
        :param sequence: sequence number of the heartbeat.
        :param now: monotonic seconds.
        """
        known = self.registrations_.get(upstream_id)
        if known is None or known.boot_ms != boot_ms or sequence <= known.sequence:
            return
        if known.state == RegistrationState.RECALLED:
            return  # only a full registration tells whether the upstream is cold
        if known.state == RegistrationState.SILENT:
            ready = RegistrationState.READY
            renewed = msgspec.structs.replace(known, sequence=sequence, state=ready, cold_ms=0.0)
            self.merge(renewed, now)
            return
        self.registrations_[upstream_id] = msgspec.structs.replace(known, sequence=sequence)
        self.heard_at_[upstream_id] = now

    def update_liveness(self, now, listening_since=-math.inf):
        """Mark upstreams without recent heartbeats as silent, and remove those that left long ago.

        :param now: monotonic seconds.
        :param listening_since: since when this node has received heartbeats without a pause, in
            monotonic seconds.
        :returns: names of the upstreams that were marked as silent.
        """
        silent = []
        for name, registration in list(self.registrations_.items()):
            heard_at = self.heard_at_[name]
            if registration.state == RegistrationState.LEFT:
                if now >= heard_at + LEFT_RETENTION_S:
                    self._remove(name, now)
            elif (
                registration.state == RegistrationState.READY
                and now >= max(heard_at, listening_since) + self.silence_timeout_s
            ):
                self.merge(
                    msgspec.structs.replace(registration, state=RegistrationState.SILENT), now
                )
                silent.append(name)
        return silent

    def remove_expired_recalled(self, now):
        """Remove recalled upstreams that were not renewed in time.

        :param now: monotonic seconds.
        :returns: names of the removed upstreams.
        """
        expired = [
            name
            for name, registration in self.registrations_.items()
            if registration.state == RegistrationState.RECALLED and now >= self.cold_until_[name]
        ]
        for name in expired:
            self._remove(name, now)
        return expired

    def _remove(self, name, now):
        registration = self.registrations_[name]
        self._past_versions.record(registration.service, registration.version, now)
        tables = (self.registrations_, self.heard_at_, self.cold_until_, self._runs_until)
        for table in (*tables, self._changed_revisions):
            table.pop(name, None)

    def list_changes(self, revision, now):
        """Return the registrations that changed after a revision.

        Their ``cold_ms`` is the remaining warm-up time at ``now``.

        :param revision: the last revision that the receiver has.
        :param now: monotonic seconds.
        """
        names = [
            name
            for name, changed_revision in self._changed_revisions.items()
            if changed_revision > revision
        ]
        return [self._update_cold_ms(name, now) for name in names]

    def _update_cold_ms(self, name, now):
        registration = self.registrations_[name]
        cold_ms = max(0.0, (self.cold_until_[name] - now) * MS_PER_S)
        return msgspec.structs.replace(registration, cold_ms=cold_ms)

    def record_software_version(self, service, version, now):
        """Record a version that upstreams of a service ran, as known from another source.

        :param now: monotonic seconds.
        """
        self._past_versions.record(service, version, now)

    def list_software_versions(self, service, now):
        """Return the software versions that upstreams of a service run or ran recently.

        Versions of upstreams that left, or restarted with another one, are included.

        :param service: name of the service.
        :param now: monotonic seconds.
        :returns: sorted list.
        """
        versions = {
            registration.version
            for registration in self.registrations_.values()
            if registration.service == service
        }
        return sorted(versions.union(self._past_versions.list_versions(service, now)))

    def list_all_software_versions(self, now):
        """Return the pairs of service and version of :meth:`list_software_versions`, sorted.

        :param now: monotonic seconds.
        """
        services = {registration.service for registration in self.registrations_.values()}
        return [
            (service, version)
            for service in sorted(services.union(self._past_versions.list_services()))
            for version in self.list_software_versions(service, now)
        ]

    def list_usable(self):
        """Return the registrations of upstreams that may get requests, one for each address.

        Of several registrations with the same address, only the latest boot counts, because the
        earlier ones must have crashed without announcing that they leave.
        """
        by_address = {}
        for registration in self.registrations_.values():
            if registration.state == RegistrationState.LEFT:
                continue
            newest = by_address.get(registration.address)
            if newest is None or registration.boot_ms > newest.boot_ms:
                by_address[registration.address] = registration
        return [
            registration
            for registration in by_address.values()
            if registration.state in USABLE_STATES
        ]

    def list_leaving(self, now):
        """Return the registrations of upstreams that get no new requests but still run.

        :param now: monotonic seconds.
        :returns: list of pairs of registration and the monotonic time until which the upstream
            certainly runs.
        """
        leaving = []
        for name, registration in self.registrations_.items():
            if registration.state == RegistrationState.DRAINING:
                leaving.append((registration, math.inf))
            elif registration.state == RegistrationState.LEFT:
                until = self._runs_until.get(name, now)
                if now < until:
                    leaving.append((registration, until))
        return leaving
