"""Size limit of the configuration document, and the encoding in which it is returned."""

import zlib

from sassafrashook.transport import LARGE_LINK_SHARE

__all__ = [
    "choose_encoding",
    "compute_max_document_bytes",
    "convert_to_gzip",
]

# An operator waits for a second without a response. A document that takes longer at the pace of
# large messages could not be returned in that time.
MAX_TRANSFER_S = 1.0
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024
GZIP_HEADER = b"\x1f\x8b\x08" + b"\x00" * 6 + b"\xff"  # deflate, no time stamp, unknown system
ZLIB_HEADER_BYTES = 2
ZLIB_TRAILER_BYTES = 4
SUPPORTED_ENCODINGS = ("gzip", "deflate")  # by preference


def compute_max_document_bytes(link_bytes_per_s):
    """Return the size of the largest document that is accepted, in bytes.

    :param link_bytes_per_s: bandwidth of the controller's link, in bytes per second.
    """
    return min(MAX_DOCUMENT_BYTES, int(MAX_TRANSFER_S * LARGE_LINK_SHARE * link_bytes_per_s))


def choose_encoding(accept_encoding):
    """Return the content encoding that a caller allows: ``gzip``, ``deflate``, or an empty string.

    A compressed encoding is chosen wherever the caller allows one, since it saves the link.

    :param accept_encoding: value of the ``Accept-Encoding`` header, or ``None``.

    >>> choose_encoding("br, gzip;q=0.5"), choose_encoding("gzip;q=0, *"), choose_encoding(None)
    ('gzip', 'deflate', '')
    """
    weights = dict(_parse_weight(item) for item in (accept_encoding or "").split(","))
    default = weights.get("*", 0.0)
    for encoding in SUPPORTED_ENCODINGS:
        aliases = (encoding, f"x-{encoding}")
        if max((weights[name] for name in aliases if name in weights), default=default) > 0:
            return encoding
    return ""


def _parse_weight(item):
    """Return the name and the weight of one item; the weight is 0 if it is invalid."""
    name, *parameters = (part.strip().lower() for part in item.split(";"))
    for parameter in parameters:
        key, _, value = parameter.partition("=")
        if key.strip() == "q":
            try:
                return name, float(value)
            except ValueError:
                return name, 0.0
    return name, 1.0


def convert_to_gzip(packed, document):
    """Return a zlib stream as a gzip file, without compressing its content again.

    :param packed: the zlib stream, ``bytes``.
    :param document: its content, ``bytes``.
    """
    deflated = packed[ZLIB_HEADER_BYTES:-ZLIB_TRAILER_BYTES]
    trailer = zlib.crc32(document).to_bytes(4, "little")
    trailer += (len(document) & 0xFFFFFFFF).to_bytes(4, "little")
    return GZIP_HEADER + deflated + trailer
