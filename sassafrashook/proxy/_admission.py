"""Checks that come before anything is done for a request: key, configuration, class, deadline."""

from dataclasses import dataclass

from returns.result import Failure, Success

from sassafrashook.configuration import Configuration, Service, WorkClass
from sassafrashook.messages import UpstreamKind
from sassafrashook.outcomes import Refusal, RefusalReason, Verdict
from sassafrashook.proxy import _headers as headers
from sassafrashook.proxy._reading import SKIP_REST
from sassafrashook.proxy._requests import decode_deadline, refuse_input

__all__ = ["Admission", "admit_unread", "find_engine_service", "find_plain_service", "read_key"]

BEARER = "Bearer "
ANY_ACCOUNT = "default"
RETRY_AFTER_MS = 1_000


@dataclass(slots=True, frozen=True)
class Admission:
    """A request that passed.

    :param deadline: monotonic seconds, or ``None`` if the caller states none.
    """

    account: str
    configuration: Configuration
    work_class: WorkClass
    deadline: float | None


def read_key(request):
    """Return the bearer key of a falcon request, or an empty string."""
    text = request.get_header("Authorization") or ""
    return text[len(BEARER) :] if text.startswith(BEARER) else ""


def admit_unread(context, accounts, request):
    """Check what a caller's headers say, before its body is read.

    The body of a caller that is refused is not read, and its connection ends.

    :param accounts: mapping from bearer key to client account, or ``None`` to ask for no key.
    :returns: ``Success`` of an :class:`Admission`, or ``Failure`` of a refusal.
    """
    admitted = _admit(context, accounts, request)
    if isinstance(admitted, Failure):
        request.env[SKIP_REST] = True
    return admitted


def _admit(context, accounts, request):
    account = ANY_ACCOUNT if accounts is None else accounts.get(read_key(request))
    if account is None:
        return _fail(RefusalReason.UNAUTHENTICATED, "the bearer key is not known")
    fleet = context.fleet()
    if fleet is None or fleet.configuration is None:
        return _fail(RefusalReason.NO_CONFIGURATION, "no configuration yet", RETRY_AFTER_MS)
    work_class = _find_class(request, fleet.configuration)
    if work_class is None:
        return refuse_input(f"{headers.WORK_CLASS} names no class of work")
    deadline = decode_deadline(
        request.get_header(headers.DEADLINE_MS), request.get_header(headers.DEADLINE), context.clock
    )
    if isinstance(deadline, Failure):
        return deadline
    return Success(Admission(account, fleet.configuration, work_class, deadline.unwrap()))


def _find_class(request, configuration):
    name = request.get_header(headers.WORK_CLASS)
    if name is None:
        name = configuration.default_class
    for work_class in configuration.classes:
        if work_class.name == name:
            return work_class
    return configuration.classes[0] if name == configuration.default_class else None


def find_engine_service(configuration, model) -> Service | None:
    """Return the service that runs a model; one without models takes any."""
    fallback = None
    for service in configuration.services:
        if service.kind == UpstreamKind.ENGINE:
            if model in service.models:
                return service
            if not service.models and fallback is None:
                fallback = service
    return fallback


def find_plain_service(configuration, path) -> Service | None:
    """Return the plain service with the longest prefix of a path."""
    found = None
    for service in configuration.services:
        prefix = service.path_prefix
        if service.kind != UpstreamKind.PLAIN or not prefix:
            continue
        matches = path == prefix or path.startswith(prefix + "/")
        if matches and (found is None or len(prefix) > len(found.path_prefix)):
            found = service
    return found


def _fail(reason, detail, retry_after_ms=0):
    return Failure(Refusal(Verdict.NOT_RUN, reason, retry_after_ms, detail))
