"""Frames: checksummed records of a file, each written and synced as a whole.

A frame has a header of 20 bytes and a payload. The big-endian header fields are the sequence
number (8 bytes), the length of the payload (4), the CRC-32 of the payload (4) and the CRC-32 of
these sixteen bytes (4).
"""

import struct
import zlib
from dataclasses import dataclass

from sassafrashook.storage._errors import CorruptionError

__all__ = ["Frame", "encode_frame", "read_frames"]

_HEADER = struct.Struct(">QIII")
_HEADER_WITHOUT_CHECKSUM = struct.Struct(">QII")


@dataclass(slots=True, frozen=True)
class Frame:
    """One verified frame.

    :param sequence: sequence number.
    :param payload: ``bytes``.
    :param end: offset of the first byte after the frame.
    """

    sequence: int
    payload: bytes
    end: int


def encode_frame(sequence, payload):
    """Return the bytes of one frame."""
    header_bytes = _HEADER_WITHOUT_CHECKSUM.pack(sequence, len(payload), zlib.crc32(payload))
    return header_bytes + zlib.crc32(header_bytes).to_bytes(4, "big") + payload


def read_frames(path, data, allow_torn_tail):
    """Read the frames of a file.

    Each frame is synced before the next one is written, so a crash can leave only the last frame
    incomplete. An invalid frame with data of a later frame after it is therefore corruption.

    :param path: path of the file, for errors.
    :param data: content of the file, ``bytes``.
    :param allow_torn_tail: whether the last frame of the file may be incomplete.
    :returns: list of :class:`Frame`; the file must be truncated to the end of the last one.
    :raises CorruptionError: with the path and the offset of an invalid frame.
    """
    frames = []
    offset = 0
    while offset < len(data):
        frame = _read_frame(data, offset)
        if frame is None:
            if not allow_torn_tail or _was_synced(data, offset):
                raise CorruptionError(path, offset, "checksum mismatch")
            break
        if frames and frame.sequence != frames[-1].sequence + 1:
            raise CorruptionError(path, offset, f"unexpected sequence number {frame.sequence}")
        frames.append(frame)
        offset = frame.end
    return frames


def _read_header(data, offset):
    if offset + _HEADER.size > len(data):
        return None
    sequence, length, payload_checksum, checksum = _HEADER.unpack_from(data, offset)
    if zlib.crc32(data[offset : offset + _HEADER_WITHOUT_CHECKSUM.size]) != checksum:
        return None
    return sequence, length, payload_checksum


def _read_frame(data, offset):
    header = _read_header(data, offset)
    if header is None:
        return None
    sequence, length, checksum = header
    start = offset + _HEADER.size
    payload = data[start : start + length]
    if len(payload) < length or zlib.crc32(payload) != checksum:
        return None
    return Frame(sequence, payload, start + length)


def _was_synced(data, invalid_offset):
    """Return whether the data after an invalid frame proves that the frame had been synced.

    If its header is valid, any byte after the frame proves it; otherwise any valid frame does.
    """
    header = _read_header(data, invalid_offset)
    if header is not None:
        return invalid_offset + _HEADER.size + header[1] < len(data)
    return any(_read_frame(data, offset) for offset in range(invalid_offset + 1, len(data)))
