"""Applies published fleet states on a router in increasing order of revision."""

from sassafrashook.messages import ConfigurationConfirmed, ConfigurationPublished
from sassafrashook.telemetry import log_event


class FleetStateHolder:
    """Adopts each newer published fleet state and confirms it to the controller.

    :param router: this router's name.
    :param boot_id: identifier of this run of the process.
    :param sender: a :class:`~sassafrashook.interfaces.Sender`.
    :param decode: converts a :class:`~sassafrashook.messages.ConfigurationPublished` to a
        :class:`~sassafrashook.configuration.FleetState`, or raises ``ValueError``.
    :param count: called with (metric, reason).

    :ivar fleet_state_: the fleet state in force on this router, or ``None`` before the first
        one was received.
    :ivar digest_: digest of the encoded fleet state in force.
    """

    handled_messages = (ConfigurationPublished,)

    def __init__(self, router, boot_id, sender, decode, count):
        self.router = router
        self.boot_id = boot_id
        self.sender = sender
        self.decode = decode
        self.count = count
        self.fleet_state_ = None
        self.digest_ = ""

    @property
    def revision(self):
        """Revision in force on this router, or 0."""
        return 0 if self.fleet_state_ is None else self.fleet_state_.revision

    def fleet_state(self):
        """Return the fleet state in force, or ``None``."""
        return self.fleet_state_

    def deliver(self, controller, message):
        """Adopt a published fleet state if it is newer, and confirm the revision in force.

        An older revision or a second digest for the same revision is ignored and counted.
        """
        if message.revision < self.revision:
            self.count("configurations_ignored", "older_revision")
            return
        if message.revision == self.revision and message.digest != self.digest_:
            self.count("invariants_broken", "revision_with_two_digests")
            log_event("revision_with_two_digests", level="error", revision=message.revision)
            return
        if message.revision > self.revision and not self._adopt(message):
            return
        self.confirm(controller)

    def confirm(self, controller):
        """Report the revision in force to a controller, which resends the latest if it is older."""
        confirmation = ConfigurationConfirmed(
            self.router, self.boot_id, self.revision, self.digest_
        )
        self.sender.send(controller, confirmation)

    def _adopt(self, message):
        try:
            fleet_state = self.decode(message)
        except ValueError as error:
            self.count("configurations_ignored", "undecodable")
            log_event("configuration_undecodable", level="error", error=error)
            return False
        self.fleet_state_ = fleet_state
        self.digest_ = message.digest
        log_event("configuration_in_force", revision=message.revision, digest=message.digest)
        return True
