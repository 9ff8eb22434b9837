"""The key by which a route is checked, stored and looked up."""

from sassafrashook.utils import normalize_host


def make_route_key(route):
    """Return the pair of host and path prefix; routes with the same one match the same requests.

    Prefixes are compared exactly, as the path of a request is matched as it was received.

    :param route: a :class:`~sassafrashook.routes.Route`.
    """
    return normalize_host(route.host), route.path_prefix
