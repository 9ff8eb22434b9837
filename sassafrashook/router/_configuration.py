"""The configuration that a router acts on; its revision never falls."""

from sassafrashook.messages import ConfigurationConfirmed, ConfigurationPublished
from sassafrashook.telemetry import log_event


class ConfigurationHolder:
    """Takes published configurations, newest only, and confirms them.

    :param router: this router's name.
    :param boot_id: of this start of the process.
    :param sender: a :class:`~sassafrashook.gateways.Sender`.
    :param decode: turns the published document into a
        :class:`~sassafrashook.configuration.FleetState`, or raises ``ValueError``.
    :param count: called with (metric, reason).

    :ivar fleet_state_: what is in force here, ``None`` before the first was received.
    :ivar digest_: digest of its document.
    """

    MESSAGE_TYPES = (ConfigurationPublished,)

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
        """The revision in force here, 0 if none."""
        return 0 if self.fleet_state_ is None else self.fleet_state_.revision

    def fleet_state(self):
        """Return what is in force, a :class:`FleetState` or ``None``."""
        return self.fleet_state_

    def deliver(self, controller, message):
        """Take one published configuration."""
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
        """Tell a controller which revision is in force here; an old one asks for the newest."""
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
