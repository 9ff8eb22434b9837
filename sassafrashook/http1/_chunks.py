"""Decoder of chunked bodies that collects the data in one buffer.

h11 returns one object for each chunk, and takes longer than the time that a request's body has for
4 MiB in chunks of one byte. This decoder takes runs of equal small chunks at once.
"""

import math
import re

# Accepts the same chunk headers as h11, without backtracking over trailing spaces.
CHUNK_HEADER = re.compile(rb"([0-9A-Fa-f]{1,20})(?:;.*|[ \t]*)\r\n")
CRLF = b"\r\n"
MAX_RUN_CHUNK_BYTES = 16  # larger chunks are decoded one by one


class ChunkError(ValueError):
    """The chunks of a body are malformed."""


class ChunkDecoder:
    """Moves the data of chunks from a buffer of received bytes to the body.

    :param body: ``bytearray`` that the data is appended to.
    :param max_header_bytes: largest size of a chunk header, in bytes.

    :ivar is_at_end_: whether the last chunk is next in the received bytes; it is left there.

    >>> body, received = bytearray(), bytearray(b"2\\r\\nab\\r\\n1\\r\\nc\\r\\n0\\r\\n\\r\\n")
    >>> decoder = ChunkDecoder(body, 100)
    >>> while not decoder.is_at_end_:
    ...     _ = decoder.decode(received, 1_000)
    >>> body, received
    (bytearray(b'abc'), bytearray(b'0\\r\\n\\r\\n'))
    """

    __slots__ = ("body", "max_header_bytes", "is_at_end_", "_remaining", "_run_patterns")

    def __init__(self, body, max_header_bytes):
        self.body = body
        self.max_header_bytes = max_header_bytes
        self.is_at_end_ = False
        self._remaining = 0  # bytes of the current chunk that are missing, its final CRLF included
        self._run_patterns = {}

    def decode(self, received, max_bytes, max_chunks=math.inf):
        """Decode chunks and remove them from the received bytes.

        :param received: ``bytearray`` of received bytes.
        :param max_bytes: number of bytes after which it returns, so that other tasks can run.
        :param max_chunks: number of chunks, or of runs of equal ones, after which it returns.
        :returns: whether bytes have been removed; otherwise more of them are needed.
        :raises ChunkError: if the chunks are malformed.
        """
        end, position, count = min(len(received), max_bytes), 0, 0
        while position < end and count < max_chunks:
            if self._remaining:
                taken = self._take_data(received, position)
                if not taken:
                    break
                position += taken
                continue
            header = CHUNK_HEADER.match(received, position)
            if header is None:
                self._check_incomplete_header(received, position)
                break
            count += 1
            size = int(header[1], 16)
            if size == 0:
                self.is_at_end_ = True
                break
            run_bytes = self._take_run(received, position, header[0], size, end)
            if run_bytes:
                position += run_bytes
                continue
            begin = header.end()
            data_end = begin + size
            if received.startswith(CRLF, data_end):
                self.body += received[begin:data_end]
                position = data_end + len(CRLF)
            else:
                position = begin
                self._remaining = size + len(CRLF)
        del received[:position]
        return position > 0

    def _take_data(self, received, position):
        """Take what has been received of the current chunk; :returns: number of bytes."""
        data_bytes = self._remaining - len(CRLF)
        if data_bytes > 0:
            taken = min(data_bytes, len(received) - position)
            self.body += received[position : position + taken]
            self._remaining -= taken
            return taken
        if len(received) - position < len(CRLF):
            return 0
        if not received.startswith(CRLF, position):
            raise ChunkError("malformed chunk footer")
        self._remaining = 0
        return len(CRLF)

    def _check_incomplete_header(self, received, position):
        """Raise an error if no further bytes can make a valid chunk header."""
        line_end = received.find(b"\n", position)
        if line_end >= 0 or len(received) - position > self.max_header_bytes:
            raise ChunkError("malformed chunk header")

    def _take_run(self, received, position, header, size, end):
        """Take a run of chunks with the same size and no extension.

        :param position: where the run begins in the received bytes.
        :param header: header of the first chunk, ``bytes``.
        :param size: size of each chunk, in bytes.
        :param end: where the run ends at the latest.
        :returns: number of bytes taken, 0 if there is no run.
        """
        header_bytes = len(header)
        stride = header_bytes + size + len(CRLF)
        if size > MAX_RUN_CHUNK_BYTES or header != b"%x\r\n" % size:
            return 0
        if not received.startswith(header, position + stride):
            return 0
        pattern = self._run_patterns.get(size)
        if pattern is None:
            text = rb"(?:%s[\s\S]{%d}\r\n)+" % (re.escape(header), size)
            pattern = self._run_patterns[size] = re.compile(text)
        run = pattern.match(received, position, end)
        if run is None:
            return 0
        run_end = run.end()
        data = bytearray((run_end - position) // stride * size)
        for offset in range(size):
            data[offset::size] = received[position + header_bytes + offset : run_end : stride]
        self.body += data
        return run_end - position
