"""Registry of the router boots that may hold permits."""

from sassafrashook.state._commands import CommandOutcome, RegistryReply

__all__ = ["RouterRegistry"]


class RouterRegistry:
    """Router boots that a new owner must hear from before it relies on its running counts.

    :param limits: a :class:`~sassafrashook.state.StateLimits`.
    :ivar routers_: time of registration, wall-clock milliseconds, by ``(router, boot_id)``.
    """

    def __init__(self, limits):
        self.limits = limits
        self.routers_ = {}

    def register(self, command, now_ms):
        """Register a boot of a router; earlier boots stay registered until they are unregistered.

        :param command: a :class:`~sassafrashook.state.RegisterRouter`.
        :param now_ms: replicated clock, in wall-clock milliseconds.
        :returns: a :class:`~sassafrashook.state.RegistryReply`.
        """
        key = (command.router, command.boot_id)
        if not all(0 < len(text) <= self.limits.max_key_chars for text in key):
            return RegistryReply(CommandOutcome.REFUSED, "bad_name")
        if key not in self.routers_ and len(self.routers_) >= self.limits.max_routers:
            return RegistryReply(CommandOutcome.REFUSED, "too_many_routers")
        self.routers_.setdefault(key, now_ms)
        return RegistryReply(CommandOutcome.ACCEPTED)

    def unregister(self, command):
        """Unregister a boot of a router; a boot that is not registered is accepted too.

        :param command: a :class:`~sassafrashook.state.ForgetRouter`.
        :returns: a :class:`~sassafrashook.state.RegistryReply`.
        """
        self.routers_.pop((command.router, command.boot_id), None)
        return RegistryReply(CommandOutcome.ACCEPTED)

    def save(self):
        """Return sorted rows of router, boot id and time of registration."""
        return [[*key, self.routers_[key]] for key in sorted(self.routers_)]

    def restore(self, rows):
        """Replace the registry with rows from :meth:`save`."""
        self.routers_ = {
            (router, boot_id): registered_at_ms for router, boot_id, registered_at_ms in rows
        }
