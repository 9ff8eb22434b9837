"""Event loop configuration, which must be applied before the loop starts."""

import gevent


def configure_event_loop():
    """Select the epoll event loop and the blocking resolver.

    All addresses are IP addresses, so the blocking resolver returns at once, while gevent's default
    resolver switches to a thread for each connection.
    """
    gevent.config.loop = "libev-cext"
    gevent.config.libev_backend = "epoll"
    gevent.config.resolver = "block"
