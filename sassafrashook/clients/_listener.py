"""Listening sockets and servers whose unaccepted connections hold little.

Only the standard library is imported at first: a router listens before it loads other modules.
"""

import contextlib
import socket

# Size that is set for the receive buffers of connections. It applies to a connection from its
# handshake on, also while it waits to be accepted.
RECEIVE_BUFFER_BYTES = 8_192
# Connections that read a body may get a larger buffer, so that a client behind a link with delay
# can send faster.
LARGE_RECEIVE_BUFFER_BYTES = 65_536
# The kernel holds up to twice the size that was set, including its own overhead.
UNREAD_FACTOR = 2
MAX_UNREAD_BYTES = UNREAD_FACTOR * RECEIVE_BUFFER_BYTES
MAX_LARGE_UNREAD_BYTES = UNREAD_FACTOR * LARGE_RECEIVE_BUFFER_BYTES
DEFAULT_BACKLOG = 256
# Connections that are accepted at once if their number is limited: the limit is checked after that.
MAX_ACCEPT_LIMITED = 8


def make_stream_server(
    address, handle_client, budget, backlog=DEFAULT_BACKLOG, listener=None, spawn="default"
):
    """Return a server that is not started yet.

    :param address: pair of host and port.
    :param handle_client: called in a task of its own with the socket and the address of each
        client.
    :param budget: the :class:`~sassafrashook.clients.ClientBudget` of its connections, ``None``
        for no limits.
    :param backlog: largest number of connections that wait to be accepted.
    :param listener: listening socket to use, ``None`` to open one.
    :param spawn: starts the task of a client, as ``gevent.server.StreamServer`` takes it.
    :raises OSError: if the address can't be bound.
    """
    # Loading these takes longer than opening a listener, which a router does before.
    from gevent import socket as gevent_socket
    from gevent.server import StreamServer

    if listener is None and budget is not None:
        listener = open_listener(address, backlog)
    if listener is None:
        server = StreamServer(address, handle_client, backlog=backlog, spawn=spawn)
    else:
        server = StreamServer(
            gevent_socket.socket(fileno=listener.detach()), handle_client, spawn=spawn
        )
    if budget is not None:
        server.max_accept = MAX_ACCEPT_LIMITED
    return server


def open_listener(address, backlog):
    """Listen for clients whose connections share a budget.

    :param address: pair of host and port.
    :param backlog: largest number of connections that wait to be accepted.
    :returns: the listening socket.
    :raises OSError: if the address can't be bound.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.bind(address)
        listener.listen(backlog)
    except OSError:
        listener.close()
        raise
    return listener


def resize_receive_buffer(sock, is_large):
    """Set the size of the receive buffer of an accepted connection.

    :param sock: the socket; nothing happens if it has been closed.
    :param is_large: whether it reads a body.
    """
    size = LARGE_RECEIVE_BUFFER_BYTES if is_large else RECEIVE_BUFFER_BYTES
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
