"""Boots of routers that may hold permits."""

from sassafrashook.state._commands import CommandOutcome, RegistryReply

__all__ = ["RouterRegistry"]


class RouterRegistry:
    """Which boots of routers a new leader must hear of before it trusts its counts.

    :param limits: a :class:`~sassafrashook.state.StateLimits`.
    """

    def __init__(self, limits):
        self.limits = limits
        self.routers_ = {}

    def register(self, command, now_ms):
        """Note a boot of a router; the earlier boots stay until they are forgotten.

        :returns: a :class:`~sassafrashook.state.RegistryReply`.
        """
        key = (command.router, command.boot_id)
        if not all(0 < len(text) <= self.limits.max_key_chars for text in key):
            return RegistryReply(CommandOutcome.REFUSED, "bad_name")
        if key not in self.routers_ and len(self.routers_) >= self.limits.max_routers:
            return RegistryReply(CommandOutcome.REFUSED, "too_many_routers")
        self.routers_.setdefault(key, now_ms)
        return RegistryReply(CommandOutcome.ACCEPTED)

    def forget(self, command):
        """Drop a boot of a router.

        :returns: a :class:`~sassafrashook.state.RegistryReply`.
        """
        self.routers_.pop((command.router, command.boot_id), None)
        return RegistryReply(CommandOutcome.ACCEPTED)

    def save(self):
        """Return the registry as sorted rows."""
        return [[*key, self.routers_[key]] for key in sorted(self.routers_)]

    def restore(self, rows):
        """Replace the registry by rows from :meth:`save`."""
        self.routers_ = {(name, boot_id): since_ms for name, boot_id, since_ms in rows}
