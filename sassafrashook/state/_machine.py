"""State machine that applies the committed commands on each controller replica."""

from hashlib import blake2b

import msgspec

from sassafrashook.base import StateMachine
from sassafrashook.state import _commands as commands
from sassafrashook.state._claims import ClaimTable
from sassafrashook.state._codec import STATE_VERSION, decode_command, decode_envelope
from sassafrashook.state._commands import CommandOutcome, CommandRefused, RegistryReply
from sassafrashook.state._deduplication import CommandDeduplicator
from sassafrashook.state._limits import StateLimits
from sassafrashook.state._orders import OrderJournal
from sassafrashook.state._revisions import RevisionRegister
from sassafrashook.state._routers import RouterRegistry

__all__ = ["FleetStateMachine", "UnsupportedVersionError"]

DIGEST_BYTES = 16
MAX_CLOCK_MS = 2**53
_ENCODER = msgspec.msgpack.Encoder()


class UnsupportedVersionError(RuntimeError):
    """The group adopted a state version that this program doesn't support; upgrade the program."""


class FleetStateMachine(StateMachine):
    """The replicated state of one group of controllers.

    :param limits: a :class:`~sassafrashook.state.StateLimits`, the same on every replica.

    :ivar clock_ms_: replicated clock: the highest wall clock that a command carried, milliseconds.
    :ivar version_: adopted state version.
    :ivar revisions_: configuration, drained zones and quarantine, a
        :class:`~sassafrashook.state.RevisionRegister`.
    :ivar claims_: a :class:`~sassafrashook.state.ClaimTable`.
    :ivar orders_: an :class:`~sassafrashook.state.OrderJournal`.
    :ivar routers_: registry of the router boots that may hold permits.
    :ivar deduplicator_: a :class:`~sassafrashook.state.CommandDeduplicator`.
    :raises UnsupportedVersionError: from :meth:`apply` and :meth:`restore`, when the group has
        adopted a state version that this program doesn't support.

    See also :class:`sassafrashook.interfaces.ReplicatedLog`, which orders the commands.

    Example::

        >>> from sassafrashook.state import FleetStateMachine, SetZone, decode_reply, encode_command
        >>> state = FleetStateMachine()
        >>> command = SetZone("c-1", "brest-a", True, deadline_ms=2_000)
        >>> decode_reply(state.apply(1, encode_command(command, now_ms=1_000))).revision
        1
    """

    # Tests replace these classes to disable one mechanism at a time.
    claims_class = ClaimTable
    deduplicator_class = CommandDeduplicator
    orders_class = OrderJournal
    revisions_class = RevisionRegister

    def __init__(self, limits=None):
        self.limits = limits or StateLimits()
        self.clock_ms_ = 0
        self.version_ = STATE_VERSION
        self.claims_ = self.claims_class(self.limits)
        self.deduplicator_ = self.deduplicator_class(self.limits)
        self.orders_ = self.orders_class(self.limits)
        self.revisions_ = self.revisions_class(self.limits)
        self.routers_ = RouterRegistry(self.limits)
        self._listeners = []

    def subscribe(self, listener):
        """Call ``listener()`` after each increase of the revision; it must not block."""
        self._listeners.append(listener)

    def apply(self, index, command):
        """Apply one committed command; see :class:`~sassafrashook.base.StateMachine`."""
        previous_revision = self.revisions_.revision_
        reply = self._apply_envelope(decode_envelope(command))
        assert self.revisions_.revision_ >= previous_revision, "the revision decreased"
        if self.revisions_.revision_ > previous_revision:
            self._notify_listeners()
        return _ENCODER.encode(reply)

    def save(self):
        """Return the whole state as canonical bytes."""
        return _ENCODER.encode(
            [
                self.version_,
                self.clock_ms_,
                self.revisions_.save(),
                self.deduplicator_.save(),
                self.claims_.save(),
                self.orders_.save(),
                self.routers_.save(),
            ]
        )

    def restore(self, snapshot):
        """Replace the whole state with a snapshot, which :meth:`save` returned."""
        version, clock_ms, revisions, outcomes, claims, orders, routers = msgspec.msgpack.decode(
            snapshot
        )
        self._adopt_version(version)
        self.clock_ms_ = clock_ms
        self.revisions_.restore(revisions)
        self.deduplicator_.restore(outcomes)
        self.claims_.restore(claims)
        self.orders_.restore(orders)
        self.routers_.restore(routers)
        self._notify_listeners()

    @property
    def digest(self):
        """Digest of the whole state, hexadecimal; equal states have equal digests."""
        return blake2b(self.save(), digest_size=DIGEST_BYTES).hexdigest()

    @property
    def revision(self):
        """Current revision."""
        return self.revisions_.revision_

    @property
    def has_pending_deadlines(self):
        """Whether any part of the state expires at a stored deadline."""
        return bool(
            self.deduplicator_.records_
            or self.claims_.records_
            or self.orders_.orders_
            or self.revisions_.quarantined_
        )

    def get_fleet_state(self):
        """Return the :class:`~sassafrashook.configuration.FleetState` that routers act on."""
        return self.revisions_.get_fleet_state()

    def _apply_envelope(self, envelope):
        if envelope is None or not 0 <= envelope.now_ms <= MAX_CLOCK_MS:
            return CommandRefused("malformed")
        if envelope.version > self.version_ or envelope.version < 1:
            return CommandRefused("unsupported_version")
        command = decode_command(envelope.body)
        if command is None:
            return CommandRefused("unknown_command")
        self._advance_clock(envelope.now_ms)
        return self._apply_command(command)

    def _advance_clock(self, now_ms):
        if now_ms <= self.clock_ms_:
            return
        self.clock_ms_ = now_ms
        for part in (self.revisions_, self.deduplicator_, self.claims_, self.orders_):
            part.expire(now_ms)

    def _apply_command(self, command):
        match command:
            case commands.ClaimBatch():
                return self._apply_batch(command)
            case commands.ApplyConfiguration():
                return self._apply_once(command, self.revisions_.apply_configuration)
            case commands.SetZone():
                return self._apply_once(command, self.revisions_.set_zone)
            case commands.IssueOrder():
                return self._apply_once(command, self._issue_order)
            case commands.CompleteOrder():
                return self.orders_.complete(command)
            case commands.QuarantineFingerprint():
                return self.revisions_.quarantine(command, self.clock_ms_)
            case commands.RegisterRouter():
                return self.routers_.register(command, self.clock_ms_)
            case commands.ForgetRouter():
                return self.routers_.unregister(command)
            case commands.AdoptVersion():
                return self._adopt_next_version(command.version)
        return RegistryReply(CommandOutcome.ACCEPTED)

    def _apply_batch(self, batch):
        replies = [self._apply_claim(entry) for entry in batch.entries]
        return commands.ClaimBatchReply(replies)

    def _apply_claim(self, entry):
        if isinstance(entry, commands.Claim):
            return self.claims_.claim(entry, self.clock_ms_)
        return self.claims_.complete(entry, self.clock_ms_)

    def _issue_order(self, command):
        return self.orders_.issue(command, self.clock_ms_)

    def _apply_once(self, command, apply):
        """Apply an operator command once; a resend gets the reply to its first delivery.

        A refusal that names a time to retry at is not recorded, so the same command id may be
        sent again.
        """
        is_known, first_reply = self.deduplicator_.find_reply(command)
        if is_known:
            return first_reply or _build_refusal(command, "command_id_reused", self.revision)
        reason = self.deduplicator_.find_refusal_reason(command, self.clock_ms_)
        if reason:
            return _build_refusal(command, reason, self.revision)
        reply = apply(command)
        if not getattr(reply, "retry_at_unix_ms", 0):
            self.deduplicator_.record_reply(command, reply)
        return reply

    def _adopt_next_version(self, version):
        if version > self.version_ + 1:
            return RegistryReply(CommandOutcome.REFUSED, "version_skipped")
        self._adopt_version(max(version, self.version_))
        return RegistryReply(CommandOutcome.ACCEPTED)

    def _adopt_version(self, version):
        if version > STATE_VERSION:
            raise UnsupportedVersionError(
                f"the group adopted state version {version}; supported: up to {STATE_VERSION}"
            )
        self.version_ = version

    def _notify_listeners(self):
        for listener in self._listeners:
            listener()


def _build_refusal(command, reason, revision):
    if isinstance(command, commands.IssueOrder):
        return commands.OrderReply(CommandOutcome.REFUSED, 0, reason)
    return commands.ConfigurationReply(CommandOutcome.REFUSED, revision, reason=reason)
