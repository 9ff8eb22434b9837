"""The configuration, the zones that are taken out and the quarantine, under one revision."""

from hashlib import blake2b

import msgspec

from sassafrashook.configuration import Configuration, FleetState
from sassafrashook.state._commands import CommandOutcome, ConfigurationReply, RegistryReply

__all__ = ["RevisionRegister", "digest_document"]

_CONFIGURATION_DECODER = msgspec.json.Decoder(Configuration)
DIGEST_BYTES = 16


class RevisionRegister:
    """What routers must act on; each change grows the revision.

    Operators compare and set against ``operator_revision_``, the revision of the last change by an
    operator, so that a quarantine, which also grows the revision, never fails an operator's change.

    :param limits: a :class:`~sassafrashook.state.StateLimits`.
    """

    def __init__(self, limits):
        self.limits = limits
        self.revision_ = 0
        self.operator_revision_ = 0
        self.winner_ = ""
        self.document_ = b""
        self.drained_zones_ = set()
        self.quarantined_ = {}
        self._fleet_state = None

    def apply_configuration(self, command):
        """Compare and set the document.

        :param command: an :class:`~sassafrashook.state.ApplyConfiguration`.
        :returns: a :class:`~sassafrashook.state.ConfigurationReply`.
        """
        if not self._matches(command.expected_revision):
            return self._report_conflict()
        if not 0 < len(command.document) <= self.limits.max_document_bytes:
            return self._refuse("document_size")
        self.document_ = command.document
        return self._accept(command)

    def set_zone(self, command):
        """Take a zone out or bring it back.

        :param command: a :class:`~sassafrashook.state.SetZone`.
        :returns: a :class:`~sassafrashook.state.ConfigurationReply`.
        """
        if command.expected_revision >= 0 and not self._matches(command.expected_revision):
            return self._report_conflict()
        if not 0 < len(command.zone) <= self.limits.max_key_chars:
            return self._refuse("zone_name")
        if command.drained and not self._has_zone_room(command.zone):
            return self._refuse("too_many_zones")
        if command.drained:
            self.drained_zones_.add(command.zone)
        else:
            self.drained_zones_.discard(command.zone)
        return self._accept(command)

    def quarantine(self, command, now_ms):
        """Refuse a fingerprint until a deadline.

        :param command: a :class:`~sassafrashook.state.QuarantineFingerprint`.
        :returns: a :class:`~sassafrashook.state.RegistryReply`.
        """
        if not 0 <= command.fingerprint < 2**64:
            return RegistryReply(CommandOutcome.REFUSED, "bad_fingerprint")
        if command.deadline_ms <= now_ms:
            return RegistryReply(CommandOutcome.REFUSED, "deadline_passed")
        deadline_ms = min(command.deadline_ms, now_ms + self.limits.command_horizon_ms)
        known_ms = self.quarantined_.get(command.fingerprint)
        self.quarantined_[command.fingerprint] = max(deadline_ms, known_ms or 0)
        if known_ms is None:
            self._evict_quarantined()
            self._grow()
        return RegistryReply(CommandOutcome.ACCEPTED)

    def expire(self, now_ms):
        """End the quarantines whose stored deadlines have passed."""
        over = [f for f, deadline_ms in self.quarantined_.items() if deadline_ms <= now_ms]
        for fingerprint in over:
            del self.quarantined_[fingerprint]
        if over:
            self._grow()

    def fleet_state(self):
        """Return what is in force as a :class:`~sassafrashook.configuration.FleetState`.

        :raises msgspec.DecodeError: if this program can't read the committed document.
        """
        if self._fleet_state is None:
            self._fleet_state = FleetState(
                self.revision_,
                _CONFIGURATION_DECODER.decode(self.document_) if self.document_ else None,
                sorted(self.drained_zones_),
                sorted(self.quarantined_),
            )
        return self._fleet_state

    def save(self):
        """Return the register as one row."""
        return [
            self.revision_,
            self.operator_revision_,
            self.winner_,
            self.document_,
            sorted(self.drained_zones_),
            sorted(self.quarantined_.items()),
        ]

    def restore(self, row):
        """Replace the register by a row from :meth:`save`."""
        self.revision_, self.operator_revision_, self.winner_, self.document_, zones, marks = row
        self.drained_zones_ = set(zones)
        self.quarantined_ = dict(marks)
        self._fleet_state = None

    def _matches(self, expected_revision):
        return self.operator_revision_ <= expected_revision <= self.revision_

    def _accept(self, command):
        self._grow()
        self.operator_revision_ = self.revision_
        self.winner_ = command.command_id
        return ConfigurationReply(CommandOutcome.ACCEPTED, self.revision_)

    def _report_conflict(self):
        return ConfigurationReply(CommandOutcome.CONFLICT, self.revision_, self.winner_)

    def _refuse(self, reason):
        return ConfigurationReply(CommandOutcome.REFUSED, self.revision_, reason=reason)

    def _grow(self):
        self.revision_ += 1
        self._fleet_state = None

    def _has_zone_room(self, zone):
        return zone in self.drained_zones_ or len(self.drained_zones_) < self.limits.max_zones

    def _evict_quarantined(self):
        if len(self.quarantined_) > self.limits.max_quarantined:
            first = min(self.quarantined_, key=lambda f: (self.quarantined_[f], f))
            del self.quarantined_[first]


def digest_document(document):
    """Return the digest of an encoded document, hexadecimal."""
    return blake2b(document, digest_size=DIGEST_BYTES).hexdigest()
