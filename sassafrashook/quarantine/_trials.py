"""Gradual admission of requests that may crash upstreams."""

import math

from sassafrashook.utils import rank_nodes

# Time in which the number of routers that admit a suspected trait doubles. It is longer than it
# takes until all routers know of a crash.
TRIAL_STAGE_S = 2.0


def compute_trial_delay_s(trait, router, routers):
    """Return how much later than the first router a router admits a suspected trait again.

    One router, selected by a hash, admits it at once, and the number of routers then doubles at
    regular intervals. If a request with the trait completes, the trait is cleared for all routers;
    if it crashes another upstream, few other requests with it are running.

    :param trait: the trait, a 64-bit hash.
    :param router: name of the router.
    :param routers: names of all routers.
    :returns: seconds.
    """
    if router not in routers:
        return 0.0
    return TRIAL_STAGE_S * math.log2(rank_nodes(trait, routers).index(router) + 1)
