"""Admits requests by their headers: bearer key, work class and deadline."""

from dataclasses import dataclass

from returns.result import Failure, Success

from sassafrashook.configuration import Configuration, Service, WorkClass
from sassafrashook.http1 import CLOSE_CONNECTION
from sassafrashook.messages import UpstreamKind
from sassafrashook.outcomes import Refusal, RefusalReason, Verdict
from sassafrashook.proxy import _header_names as headers
from sassafrashook.proxy._decoding import build_input_refusal, decode_deadline

__all__ = [
    "Admission",
    "admit_request",
    "find_engine_service",
    "find_plain_service",
    "read_bearer_key",
]

BEARER_PREFIX = "Bearer "
DEFAULT_ACCOUNT = "default"
RETRY_AFTER_MS = 1_000


@dataclass(slots=True, frozen=True)
class Admission:
    """Properties of an admitted request.

    :param account: client account.
    :param configuration: configuration that the request is handled by.
    :param deadline: monotonic seconds, or ``None`` without a deadline header.
    """

    account: str
    configuration: Configuration
    work_class: WorkClass
    deadline: float | None


def read_bearer_key(request):
    """Return the bearer key of a falcon request, or an empty string if there is none."""
    text = request.get_header("Authorization") or ""
    return text[len(BEARER_PREFIX) :] if text.startswith(BEARER_PREFIX) else ""


def admit_request(context, accounts, request):
    """Validate the headers of a request before its body is read.

    The connection of a refused request is closed, and its body is discarded.

    :param context: a :class:`~sassafrashook.proxy.ProxyContext`.
    :param accounts: mapping from bearer key to client account, or ``None`` to require no key.
    :param request: falcon request.
    :returns: ``Success`` of an :class:`Admission`, or ``Failure`` of a refusal.
    """
    admitted = _check_headers(context, accounts, request)
    if isinstance(admitted, Failure):
        request.env[CLOSE_CONNECTION] = True
    return admitted


def _check_headers(context, accounts, request):
    account = DEFAULT_ACCOUNT if accounts is None else accounts.get(read_bearer_key(request))
    if account is None:
        return _refuse(RefusalReason.UNAUTHENTICATED, "the bearer key is unknown")
    fleet_state = context.get_fleet_state()
    if fleet_state is None or fleet_state.configuration is None:
        return _refuse(
            RefusalReason.NO_CONFIGURATION, "no configuration has been received", RETRY_AFTER_MS
        )
    work_class = _find_work_class(request, fleet_state.configuration)
    if work_class is None:
        return build_input_refusal(f"{headers.WORK_CLASS} does not name a configured work class")
    deadline = decode_deadline(
        request.get_header(headers.DEADLINE_MS), request.get_header(headers.DEADLINE), context.clock
    )
    if isinstance(deadline, Failure):
        return deadline
    return Success(Admission(account, fleet_state.configuration, work_class, deadline.unwrap()))


def _find_work_class(request, configuration):
    """Return the work class that a request names, or the default class without the header.

    If the default class is not configured, its name stands for the first configured class.
    """
    name = request.get_header(headers.WORK_CLASS)
    if name is None:
        name = configuration.default_class
    for work_class in configuration.classes:
        if work_class.name == name:
            return work_class
    return configuration.classes[0] if name == configuration.default_class else None


def find_engine_service(configuration, model) -> Service | None:
    """Return the engine service of a model.

    The first service that lists the model is preferred; a service without a list accepts any model.
    """
    fallback = None
    for service in configuration.services:
        if service.kind == UpstreamKind.ENGINE:
            if model in service.models:
                return service
            if not service.models and fallback is None:
                fallback = service
    return fallback


def find_plain_service(configuration, path) -> Service | None:
    """Return the plain service whose path prefix is the longest match of a path."""
    found = None
    for service in configuration.services:
        prefix = service.path_prefix
        if service.kind != UpstreamKind.PLAIN or not prefix:
            continue
        matches = path == prefix or path.startswith(prefix + "/")
        if matches and (found is None or len(prefix) > len(found.path_prefix)):
            found = service
    return found


def _refuse(reason, detail, retry_after_ms=0):
    return Failure(Refusal(Verdict.NOT_RUN, reason, retry_after_ms, detail))
