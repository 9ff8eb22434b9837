"""Settings of the event loop that must be made before it starts."""

import gevent


def configure_loop():
    """Pin the event loop to epoll, and keep address look-ups inside the process.

    Addresses are IP numbers, so the resolver that runs in place never waits; the default one
    spends a thread switch on each connection.
    """
    gevent.config.loop = "libev-cext"
    gevent.config.libev_backend = "epoll"
    gevent.config.resolver = "block"
