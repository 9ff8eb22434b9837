"""Messages that distribute the configuration to routers."""

from sassafrashook.messages._message import Message


class ConfigurationPublished(Message):
    """A controller sends the committed configuration to a router.

    :param revision: increases with each accepted change, including drained and restored zones.
    :param digest: digest of ``document``, hexadecimal.
    :param document: an encoded :class:`~sassafrashook.configuration.FleetState`: the configuration,
        the drained zones and the quarantine.
    """

    revision: int
    digest: str
    document: bytes


class ConfigurationConfirmed(Message):
    """A router confirms that it uses a revision from now on.

    :param router: name of the router.
    :param boot_id: identifies the start of the router's process.
    :param digest: digest of the document that the router uses, hexadecimal.
    """

    router: str
    boot_id: str
    revision: int
    digest: str
