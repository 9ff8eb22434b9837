"""Services that routes led to, for as long as streams that began there may be resumed."""

from sassafrashook.routes._table import iterate_prefixes

# Clients that state no deadline wait for 30 s; see ``DEFAULT_DEADLINE_MS`` of the gateway.
MIN_STREAM_LIFE_S = 30.0
# Other routers may begin streams by the previous configuration for this time: a configuration is
# acknowledged within 5 s and in force 2.5 s later.
CONFIGURATION_SPREAD_S = 10.0
MAX_CLIENT_WAIT_S = 600.0  # software versions are remembered for no longer
MS_PER_S = 1_000


class RouteHistory:
    """Services to which the requests of a path were led before changes of the configuration.

    Only configurations that this router had in force are known: none from before its start, and
    none that was replaced before it arrived here.

    :ivar longest_wait_s_: longest time that a client wanted to wait for a stream, in seconds.
    """

    def __init__(self):
        self.longest_wait_s_ = MIN_STREAM_LIFE_S
        self._past = {}  # (time of the change, timeout in seconds) by service, by route key

    def record_client_wait(self, wait_s):
        """Record how long a client waits for a stream, and may resume it.

        :param wait_s: the time, in seconds.
        """
        self.longest_wait_s_ = max(self.longest_wait_s_, min(wait_s, MAX_CLIENT_WAIT_S))

    def record_change(self, previous, table, now, changed_keys=None):
        """Record that a configuration replaces another one.

        :param previous: the :class:`RouteTable` that was in force, ``None`` if there was none.
        :param table: the new :class:`RouteTable`.
        :param now: monotonic seconds.
        :param changed_keys: keys of the routes that were added, changed or dropped, ``None`` if
            they are not known.
        """
        self._remove_expired(now)
        if previous is None:
            return
        for key, route in _select_routes(previous, changed_keys):
            if route.is_stream:
                current = table.get_route(*key)
                kept = () if current is None else current.list_services()
                dropped = [name for name in route.list_services() if name not in kept]
                self._add(key, dict.fromkeys(dropped, (now, route.timeout_ms / MS_PER_S)))
        for key, route in _select_routes(table, changed_keys):
            if route.is_stream and previous.get_route(*key) is None:
                self._add(key, self._collect_before(previous, key, now))

    def _collect_before(self, previous, key, now):
        """Return where the requests of a new route were led before, as the values of ``_past``."""
        host, path_prefix = key
        collected = {}
        for prefix in iterate_prefixes(path_prefix):
            _merge(collected, self._past.get((host, prefix), {}))
            route = previous.get_route(host, prefix)
            if route is not None:
                if route.is_stream:
                    left = (now, route.timeout_ms / MS_PER_S)
                    _merge(collected, dict.fromkeys(route.list_services(), left))
                break
        return collected

    def _add(self, key, services):
        if services:
            _merge(self._past.setdefault(key, {}), services)

    def _is_expired(self, change, now):
        changed_at, timeout_s = change
        life_s = max(timeout_s, self.longest_wait_s_) + CONFIGURATION_SPREAD_S
        return now >= changed_at + life_s

    def _remove_expired(self, now):
        for key, services in list(self._past.items()):
            for name in [n for n, change in services.items() if self._is_expired(change, now)]:
                del services[name]
            if not services:
                del self._past[key]

    def list_services(self, table, host, path, now):
        """Return the services that may have begun a stream that a client resumes.

        :param table: the :class:`RouteTable` in force.
        :param host: normalized host of the request.
        :param path: its path without the query.
        :param now: monotonic seconds.
        :returns: sorted list of names.
        """
        names = set()
        for prefix in iterate_prefixes(path):
            past = self._past.get((host, prefix), {})
            names.update(name for name, change in past.items() if not self._is_expired(change, now))
            route = table.get_route(host, prefix)
            if route is not None:
                names.update(route.list_services())
                break
        return sorted(names)


def _select_routes(table, keys):
    """Return the pairs of key and route of a table, only those of some keys unless ``None``."""
    if keys is None:
        return table.list_routes()
    routes = ((key, table.get_route(*key)) for key in keys)
    return [(key, route) for key, route in routes if route is not None]


def _merge(services, others):
    """Add services; of two changes of the same one, the later one counts."""
    for name, change in others.items():
        services[name] = max(change, services.get(name, change))
