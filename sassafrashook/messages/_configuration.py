"""Messages that carry the operators' configuration to routers."""

from sassafrashook.messages._message import Message


class ConfigurationPublished(Message):
    """The committed configuration.

    :param revision: grows with every accepted change, zone moves included.
    :param digest: digest of ``document``, hexadecimal.
    :param document: the encoded configuration and zone states.
    """

    revision: int
    digest: str
    document: bytes


class ConfigurationConfirmed(Message):
    """A router acts on a revision from now on."""

    router: str
    boot_id: str
    revision: int
    digest: str
