"""Statuses of HTTP responses, and what they promise to clients."""

from sassafrashook.outcomes._outcomes import Verdict

__all__ = ["is_informational_status", "is_response_status", "is_true_promise"]

MIN_STATUS = 100
MIN_FINAL_STATUS = 200
MAX_STATUS = 599
# Request Timeout, Misdirected Request, Too Many Requests and Service Unavailable: clients may send
# a request again that must run at most once.
STATUSES_PROMISING_NOT_RUN = frozenset((408, 421, 429, 503))


def is_informational_status(status):
    """Return whether a number is the status of a response that precedes the final one.

    :param status: number in the status line.

    >>> [is_informational_status(status) for status in (0, 99, 103, 200)]
    [False, False, True, False]
    """
    return MIN_STATUS <= status < MIN_FINAL_STATUS


def is_response_status(status):
    """Return whether a number is the status of a final response.

    RFC 9110 defines the statuses from 100 to 599.

    :param status: number in the status line.

    >>> [is_response_status(status) for status in (0, 99, 103, 200, 599, 600)]
    [False, False, False, True, True, False]
    """
    return MIN_FINAL_STATUS <= status <= MAX_STATUS


def is_true_promise(status, verdict):
    """Return whether what a status promises is true of a request.

    :param status: status of the response to the client, whoever has chosen it.
    :param verdict: :class:`Verdict` on whether the request has run.

    >>> [is_true_promise(503, verdict) for verdict in Verdict]
    [True, False, False]
    >>> is_true_promise(500, Verdict.RAN)
    True
    """
    return verdict is Verdict.NOT_RUN or status not in STATUSES_PROMISING_NOT_RUN
