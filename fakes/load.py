"""Callers that send chats and orders to a fleet, and what they must never see."""

import time
from collections import Counter
from dataclasses import dataclass, field

import gevent
from geventhttpclient.response import (
    HTTPConnectionClosed,
    HTTPParseError,
    HTTPProtocolViolationError,
)

from fakes.engine import make_tokens
from fakes.fleet import CALLER_KEYS

HEALTH_POLL_S = 0.1
PAUSE_S = 0.02
RETRY_S = 0.2
TOKENS = 20
ORDER_TRIES = 40
ERRORS = (OSError, HTTPConnectionClosed, HTTPParseError, HTTPProtocolViolationError)


@dataclass(slots=True)
class Order:
    """One order and every answer that its caller got.

    :param answers: pairs of status and verdict.
    """

    key: str
    body: bytes
    answers: list = field(default_factory=list)
    receipt: bytes = b""
    reasons: Counter = field(default_factory=Counter)


class Load:
    """Runs callers until it is stopped; a balancer's view of the health pages picks the router.

    :param fleet: a started :class:`~fakes.fleet.Fleet`.
    :param rng: picks routers and conversations.
    :param chats: number of chat callers.
    :param orders: number of order callers.

    Attributes: ``counts``, outcomes of chats by name; ``orders``, every order; ``wrong``, texts of
    what must never happen.
    """

    def __init__(self, fleet, rng, chats=8, orders=3):
        self.fleet = fleet
        self.rng = rng
        self.chat_callers = chats
        self.order_callers = orders
        self.counts = Counter()
        self.reasons = Counter()
        self.orders = []
        self.wrong = []
        self.healthy = []
        self.stopping = False
        self.greenlets = []

    def start(self):
        """Start the callers."""
        self._look_at_health()
        tasks = [self._poll_health]
        tasks += [self._run_chats] * self.chat_callers
        tasks += [self._run_orders] * self.order_callers
        self.greenlets = [gevent.spawn(task, index) for index, task in enumerate(tasks)]
        return self

    def stop(self):
        """Let every caller finish what it does."""
        self.stopping = True
        gevent.joinall(self.greenlets, raise_error=True)
        return self

    def check(self):
        """Return what must never happen and did, over all that was recorded."""
        executions = self.fleet.read_records("ledger")["executions"]
        wrong = list(self.wrong)
        for order in self.orders:
            runs = executions.get(order.key, 0)
            if runs > 1:
                wrong.append(f"{order.key} ran {runs} times: {order.answers}")
            verdicts = [verdict for _, verdict in order.answers]
            if runs and verdicts and set(verdicts) == {"not_run"}:
                wrong.append(f"{order.key} ran but its caller was told not_run")
            if not runs and order.receipt:
                wrong.append(f"{order.key} was answered but never ran")
        return wrong

    def _poll_health(self, _index):
        while not self.stopping:
            self._look_at_health()
            gevent.sleep(HEALTH_POLL_S)

    def _look_at_health(self):
        names = self.fleet.routers
        self.healthy = [n for n, name in enumerate(names) if self.fleet.is_serving(name)]

    def _pick_router(self):
        while not self.healthy:
            gevent.sleep(PAUSE_S)
            if self.stopping:
                return 0
        return self.rng.choice(self.healthy)

    def _run_chats(self, index):
        number = 0
        while not self.stopping:
            number += 1
            self._send_chat(f"chat-{index}-{self.rng.randrange(5)}", f"question {number}")
            gevent.sleep(PAUSE_S)

    def _send_chat(self, conversation, question):
        messages = [{"role": "user", "content": f"{conversation}: {question}"}]
        body = {"model": "advisor", "stream": True, "max_tokens": TOKENS, "messages": messages}
        headers = {"X-Conversation-Id": conversation, "Content-Type": "application/json"}
        account = self.rng.choice(list(CALLER_KEYS))
        try:
            answer = self.fleet.send(
                self._pick_router(), "POST", "/v1/chat/completions", headers, body, account
            )
        except ERRORS as error:
            is_cut = isinstance(error, HTTPParseError)
            self.counts["cut" if is_cut else "connection_lost"] += 1
            self.reasons[type(error).__name__] += 1
            return
        self._judge_chat(answer, messages)

    def _judge_chat(self, answer, messages):
        if answer.status != 200:
            self.counts["refused"] += 1
            self.reasons[answer.read_error()["reason"]] += 1
            return
        expected = "".join(make_tokens(messages, TOKENS))
        text = answer.read_text()
        if answer.is_whole and text == expected:
            self.counts["whole"] += 1
        elif answer.is_whole or not expected.startswith(text):
            self.wrong.append(f"another's or a spliced answer: {text!r} for {expected!r}")
        elif answer.has_error:
            self.counts["plain_error"] += 1
            self.reasons[answer.read_error()["reason"]] += 1
        else:
            self.counts["cut"] += 1

    def _run_orders(self, index):
        number = 0
        while not self.stopping:
            number += 1
            order = Order(f"order-{index}-{number}", f'{{"kg": {number}}}'.encode())
            self.orders.append(order)
            self._place(order)
            gevent.sleep(PAUSE_S)

    def _place(self, order):
        for _ in range(ORDER_TRIES):
            try:
                answer = self.fleet.order(self._pick_router(), order.key, order.body)
            except ERRORS:
                order.answers.append((0, "lost"))
                gevent.sleep(RETRY_S)
                continue
            if answer.status < 300:
                self._note_receipt(order, answer)
                return
            error = answer.read_error()
            order.reasons[error.get("reason", "")] += 1
            verdict = error.get("verdict", "ran")
            order.answers.append((answer.status, verdict))
            if verdict != "not_run" and answer.status != 409:
                return
            gevent.sleep(RETRY_S)

    def _note_receipt(self, order, answer):
        order.answers.append((answer.status, "ran"))
        order.receipt = answer.body
        if order.key.encode() not in answer.body:
            self.wrong.append(f"{order.key} got another's answer: {answer.body!r}")


def wait_for(seconds):
    """Let the fleet and its callers run for a while."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        gevent.sleep(PAUSE_S)
