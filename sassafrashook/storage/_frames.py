"""Frames: checksummed units of a file, each written and synced as a whole.

A frame is ``sequence`` (8 bytes), ``length`` (4), checksum of the payload (4) and checksum of
these sixteen bytes (4), big-endian, followed by the payload.
"""

import struct
import zlib
from dataclasses import dataclass

from sassafrashook.storage._errors import CorruptionError

__all__ = ["Frame", "encode_frame", "read_frames"]

_HEADER = struct.Struct(">QIII")
_CHECKED = struct.Struct(">QII")


@dataclass(slots=True, frozen=True)
class Frame:
    """One frame that verified.

    :param end: offset of the first byte after it.
    """

    sequence: int
    payload: bytes
    end: int


def encode_frame(sequence, payload):
    """Return the bytes of one frame."""
    checked = _CHECKED.pack(sequence, len(payload), zlib.crc32(payload))
    return checked + zlib.crc32(checked).to_bytes(4, "big") + payload


def read_frames(path, data, may_be_torn):
    """Read the frames of a file.

    Only the last frame can have been cut by a crash, since each is synced before the next is
    written. Bad bytes with a valid frame after them are therefore corruption.

    :param path: file name for errors.
    :param may_be_torn: whether the file's last frame may be incomplete.
    :returns: the list of frames; the end of the last is where the file must be cut.
    :raises CorruptionError: naming file and offset.
    """
    frames = []
    offset = 0
    while offset < len(data):
        frame = _read_frame(data, offset)
        if frame is None:
            if not may_be_torn or _find_frame(data, offset):
                raise CorruptionError(path, offset, "checksum mismatch")
            break
        if frames and frame.sequence != frames[-1].sequence + 1:
            raise CorruptionError(path, offset, f"unexpected sequence {frame.sequence}")
        frames.append(frame)
        offset = frame.end
    return frames


def _read_header(data, offset):
    if offset + _HEADER.size > len(data):
        return None
    sequence, length, payload_checksum, checksum = _HEADER.unpack_from(data, offset)
    if zlib.crc32(data[offset : offset + _CHECKED.size]) != checksum:
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


def _find_frame(data, bad_offset):
    """Return whether anything after a bad frame proves that the frame was synced once."""
    header = _read_header(data, bad_offset)
    if header is not None:
        return bad_offset + _HEADER.size + header[1] < len(data)
    return any(_read_frame(data, offset) for offset in range(bad_offset + 1, len(data)))
