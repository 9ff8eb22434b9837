"""What a deployment's headers say, in terms of the gateway."""

from abc import ABC, abstractmethod
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class PromptPart:
    """One part of a prompt, in the order of the parts.

    :param part_id: equal for equal parts.
    :param tokens: its length.
    """

    part_id: str
    tokens: int


@dataclass(slots=True, frozen=True)
class RequestFacts:
    """What a client's request says.

    :param request_id: unique for each attempt of a client, empty if it states none.
    :param deadline_ms: how long the client waits, ``None`` if it does not say.
    :param key: the client account's key, ``None`` if there is none.
    :param parts: tuple of :class:`PromptPart`.
    :param last_event_id: the last event that the client has, ``None`` if it resumes nothing.
    """

    request_id: str
    deadline_ms: float | None
    key: str | None
    parts: tuple = ()
    last_event_id: str | None = None


@dataclass(slots=True, frozen=True)
class AnswerFacts:
    """What an upstream's answer says.

    :param request_id: the request that it answers, empty if it does not say.
    :param is_signed: whether it bears the upstream's signature.
    :param has_not_run: whether it states that the request did not run there.
    :param is_misdirected: whether another boot than the one that was meant answered.
    :param load: pair of running and waiting requests, ``None`` if it does not say.
    """

    request_id: str
    is_signed: bool
    has_not_run: bool
    is_misdirected: bool = False
    load: tuple | None = None


@dataclass(slots=True, frozen=True)
class Forwarding:
    """What the gateway tells an upstream beside the client's own headers.

    :param upstream_id: the boot that is meant; another one must refuse the request.
    :param deadline_ms: how long the answer is of use.
    :param account: name of the client account, ``None`` if there is none.
    :param priority: rank of the request, 0 first; ``None`` if there is none.
    :param last_event_id: where a stream goes on, ``None`` from its beginning.
    :param prompt_source: address of an upstream to copy read parts of the prompt from, ``None``
        if there is none.
    """

    upstream_id: str
    deadline_ms: float
    account: str | None
    priority: int | None
    last_event_id: str | None
    prompt_source: tuple | None = None


class Dialect(ABC):
    """Reads and writes the headers of one deployment."""

    @abstractmethod
    def read_request(self, headers):
        """Return the :class:`RequestFacts` of a client's headers."""

    @abstractmethod
    def read_answer(self, head):
        """Return the :class:`AnswerFacts` of an upstream's response head."""

    @abstractmethod
    def encode_forwarded(self, headers, forwarding):
        """Return the header fields of the request to the upstream.

        :param headers: the client's :class:`~sassafrashook.http1.Headers`.
        :param forwarding: a :class:`Forwarding`.
        """
