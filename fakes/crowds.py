"""Crowds of clients outside the limits, and the memory of the process that they use."""

import contextlib
import os

import gevent
from gevent import socket

KIB = 1_024
MIB = 1_048_576
SAMPLE_INTERVAL_S = 0.05
RECEIVE_BUFFER_BYTES = 65_536  # of clients: the kernel must not take whole responses
RECONNECT_DELAY_S = 0.01
LISTENING = "0A"  # state of a socket in /proc/net/tcp


class Crowd:
    """Clients that send the same bytes, read nothing and keep their connections open.

    :param count: number of clients.
    :param opening: first bytes of each client.
    :param piece: bytes that it sends after that.
    :param repeat: how often it sends ``piece``.
    :param reconnects: whether a client whose connection is closed opens a new one and starts over.

    :ivar socks_: sockets of the clients by their number.
    """

    def __init__(self, count, opening, piece=b"", repeat=1, reconnects=False):
        self.count = count
        self.opening = opening
        self.piece = piece
        self.repeat = repeat
        self.reconnects = reconnects
        self.socks_ = {}
        self._tasks = []

    def start(self, address):
        """Start all clients.

        :param address: pair of host and port.
        """
        self.socks_ = {}
        self._tasks = [gevent.spawn(self._run, number, address) for number in range(self.count)]

    def stop(self):
        """Close all connections."""
        gevent.killall(self._tasks)
        for sock in self.socks_.values():
            sock.close()

    def _run(self, number, address):
        while True:
            sock = self.socks_[number] = socket.socket()
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
                sock.connect(address)
                sock.sendall(self.opening)
                for _ in range(self.repeat):
                    sock.sendall(self.piece)
                if self.reconnects:
                    while sock.recv(RECEIVE_BUFFER_BYTES):
                        pass
            except OSError:
                pass  # the process may refuse the client or close its connection
            if not self.reconnects:
                return
            sock.close()
            gevent.sleep(RECONNECT_DELAY_S)


class ProcessMeter:
    """Measures the memory and the descriptors of a process.

    The memory is what is resident and what the kernel holds for the process: bytes that have
    arrived and that it has not read yet.

    :param pid: process id.
    :param is_own_address: called with host and port of the local end of a connection; returns
        whether that belongs to the process.

    :ivar peak_mb_: largest memory in any sample, in MiB.
    :ivar peak_unread_mb_: largest part of it that was not read, in MiB.
    :ivar peak_descriptors_: largest number of descriptors in any sample.
    """

    def __init__(self, pid, is_own_address):
        self.pid = pid
        self.is_own_address = is_own_address
        self.peak_mb_ = 0.0
        self.peak_unread_mb_ = 0.0
        self.peak_descriptors_ = 0

    def sample(self):
        """Measure once.

        :raises OSError: if the process has ended.
        """
        with open(f"/proc/{self.pid}/statm", encoding="ascii") as file:
            resident_mb = int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / MIB
        unread_mb = self._measure_unread_bytes() / MIB
        self.peak_mb_ = max(self.peak_mb_, resident_mb + unread_mb)
        self.peak_unread_mb_ = max(self.peak_unread_mb_, unread_mb)
        descriptors = len(os.listdir(f"/proc/{self.pid}/fd"))
        self.peak_descriptors_ = max(self.peak_descriptors_, descriptors)

    def read_peak_resident_mb(self):
        """Return the largest resident memory that the process has had, in MiB."""
        with open(f"/proc/{self.pid}/status", encoding="ascii") as file:
            line = next(line for line in file if line.startswith("VmHWM"))
        return int(line.split()[1]) / KIB

    def _measure_unread_bytes(self):
        unread_bytes = 0
        with open("/proc/net/tcp", encoding="ascii") as file:
            next(file)
            for line in file:
                _, local, _, state, queues, *_ = line.split()
                if state != LISTENING and self.is_own_address(*_decode_address(local)):
                    unread_bytes += int(queues.partition(":")[2], 16)
        return unread_bytes


def _decode_address(text):
    """Return host and port of an address in /proc/net/tcp."""
    host, _, port = text.partition(":")
    return socket.inet_ntoa(int(host, 16).to_bytes(4, "little")), int(port, 16)


@contextlib.contextmanager
def run_crowds(crowds, address, meter):
    """Return a context in which crowds run side by side and the process is measured.

    :param crowds: iterable of :class:`Crowd`.
    :param address: pair of host and port.
    :param meter: a :class:`ProcessMeter`.
    """
    crowds = list(crowds)
    sampler = gevent.spawn(_sample_until_end, meter)
    for crowd in crowds:
        crowd.start(address)
    try:
        yield
    finally:
        for crowd in crowds:
            crowd.stop()
        sampler.kill()


def _sample_until_end(meter):
    with contextlib.suppress(OSError):  # the process has ended
        while True:
            meter.sample()
            gevent.sleep(SAMPLE_INTERVAL_S)


def make_chunks(size, count):
    """Return chunks of a chunked body, without the last chunk.

    :param size: bytes in each chunk.
    :param count: number of chunks.
    """
    return (b"%x\r\n" % size + b"y" * size + b"\r\n") * count
