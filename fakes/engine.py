"""A fake model engine with deterministic tokens, a prefix cache, warm-up, resume and cancel."""

import argparse
import hashlib
import json
import os
from collections import OrderedDict

import gevent

from fakes import LOAD_REPORT_INTERVAL_S, FakeUpstream, parse_options, run_fake

# A chat whose messages contain this text crashes the engine.
POISON_TEXT = "CRASH-ENGINE"
# One cache event in this many is not sent, as if it were lost.
CACHE_EVENT_LOSS_INTERVAL = 5
CONFLICT_STATUS = "409 Conflict"


def make_tokens(messages, count):
    """Return the tokens of the response to a conversation, derived from a hash of its messages."""
    text = "\n".join(f"{message['role']}:{message['content']}" for message in messages)
    seed = hashlib.sha256(text.encode()).hexdigest()[:12]
    return [f"{seed}-{index} " for index in range(count)]


class FakeEngine(FakeUpstream):
    """A model engine.

    :param default_tokens: number of tokens generated if a request has no ``max_tokens``.
    :param token_interval_s: time to generate one token, seconds.
    :param cache_size: maximum number of conversations in the prefix cache.
    :param warmup_responses: number of complete responses after which the engine is warm.
    :param options: parameters of :class:`~fakes.FakeUpstream`; ``crash``, if given, is called
        without arguments to crash the engine.

    :ivar cache_: cached conversation keys, the least recently used one first.
    :ivar cancelled_ids_: ids of cancelled requests.
    :ivar highest_fencing_token_: highest fencing token of the accepted orders.
    :ivar running_generations_: number of responses that are being generated.
    """

    kind = "engine"

    def __init__(
        self,
        *args,
        default_tokens=20,
        token_interval_s=0.01,
        cache_size=60,
        warmup_responses=0,
        **options,
    ):
        self.crash = options.pop("crash", self.stop_from_request)
        super().__init__(*args, **options)
        self.default_tokens = default_tokens
        self.token_interval_s = token_interval_s
        self.cache_ = OrderedDict()
        self.cache_size = cache_size
        self.warmup_responses = warmup_responses
        self.cancelled_ids_ = set()
        self.highest_fencing_token_ = 0
        self.running_generations_ = 0
        self.reporter_ = None

    @property
    def is_cold(self):
        """Whether the engine is still cold."""
        return self.counts_["responses"] < self.warmup_responses

    def start(self):
        """Listen and start to send announcements and load reports."""
        super().start()
        self.reporter_ = gevent.spawn(self._report_periodically)
        return self

    def stop(self):
        """Stop listening and abort all requests, as in a crash."""
        self.reporter_.kill()
        super().stop()

    def is_busy(self):
        """Return whether a request is running."""
        return self.running_ > 0 or self.running_generations_ > 0

    def make_announcement(self):
        """Return the fields of the next announcement."""
        return {**super().make_announcement(), "cold": self.is_cold}

    def describe(self):
        """Return the fields of ``/debug/records``."""
        return {**super().describe(), "cold": self.is_cold, "fencing": self.highest_fencing_token_}

    def respond(self, environ, start_response, path):
        """Serve chats, cancels, orders, and the export and import of KV cache."""
        size = int(environ.get("CONTENT_LENGTH") or 0)
        body = json.loads(environ["wsgi.input"].read(size) or b"{}")
        if path == "/v1/chat/completions":
            return self._serve_chat(environ, start_response, body)
        if path.startswith("/v1/cancel/"):
            self.counts_["cancels"] += 1
            self.cancelled_ids_.add(path.rsplit("/", 1)[1])
            return self.respond_json(environ, start_response, {"cancelled": True})
        if path == "/v1/orders":
            return self._serve_order(environ, start_response, body)
        if path.startswith("/v1/kv/"):
            for key in body.get("keys", []):
                self._touch_cache(key)
            return self.respond_json(environ, start_response, {"keys": list(self.cache_)})
        return self.respond_json(environ, start_response, {}, "404 Not Found")

    def _serve_order(self, environ, start_response, body):
        if (
            self.announcement_fields.get("checks_fencing")
            and body["fencing"] < self.highest_fencing_token_
        ):
            self.counts_["orders_refused"] += 1
            return self.respond_json(
                environ, start_response, {"fencing": self.highest_fencing_token_}, CONFLICT_STATUS
            )
        self.highest_fencing_token_ = max(self.highest_fencing_token_, body["fencing"])
        self.records_.append(body)
        return self.respond_json(environ, start_response, {"accepted": True})

    def _touch_cache(self, key):
        """Make a key the most recently used one; return whether it was cached."""
        is_hit = key in self.cache_
        self.cache_[key] = True
        self.cache_.move_to_end(key)
        if len(self.cache_) > self.cache_size:
            self._report_cache_event("evicted", self.cache_.popitem(last=False)[0])
        return is_hit

    def _report_cache_event(self, kind, key):
        self.counts_["cache_events"] += 1
        if self.counts_["cache_events"] % CACHE_EVENT_LOSS_INTERVAL and self.routers and key:
            self._send_report("/v1/cache-events", kind=kind, conversation_key=int(key))

    def _serve_chat(self, environ, start_response, body):
        messages = body["messages"]
        if any(POISON_TEXT in str(message["content"]) for message in messages):
            self.counts_["poisoned"] += 1
            self.crash()
        key = environ.get("HTTP_X_CONVERSATION_KEY", "")
        is_hit = self._touch_cache(key)
        self.counts_["requests"] += 1
        self.counts_["prefix_hits" if is_hit else "prefix_misses"] += 1
        if not is_hit:
            self._report_cache_event("stored", key)
        tokens = make_tokens(messages, body.get("max_tokens", self.default_tokens))
        position = int(environ.get("HTTP_X_RESUME_POSITION", 0))
        if position and "resume_text" in body:
            self.counts_["resumed_from_text"] += 1
            if body["resume_text"] != "".join(tokens[:position]):
                return self.respond_json(environ, start_response, {}, CONFLICT_STATUS)
        self.counts_["resumed"] += bool(position)
        return self._respond_with_tokens(environ, start_response, body, tokens, position)

    def _respond_with_tokens(self, environ, start_response, body, tokens, position):
        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        completion_id = "chatcmpl-" + request_id.split(".")[0]
        if not body.get("stream"):
            for _ in self._generate_tokens(request_id, tokens):
                pass
            message = {"role": "assistant", "content": "".join(tokens)}
            choices = [{"index": 0, "message": message, "finish_reason": "stop"}]
            return self.respond_json(
                environ, start_response, {"id": completion_id, "choices": choices}
            )
        headers = [("Content-Type", "text/event-stream"), ("X-Resume-Position", str(position))]
        start_response("200 OK", self.make_headers(environ, *headers))
        return self._generate_events(request_id, completion_id, tokens[position:])

    def _generate_events(self, request_id, completion_id, tokens):
        """Yield one server-sent event for each token, then the end marker."""
        for token in self._generate_tokens(request_id, tokens):
            choices = [{"index": 0, "delta": {"content": token}}]
            event = json.dumps({"id": completion_id, "choices": choices}, separators=(",", ":"))
            yield f"data: {event}\n\n".encode()
        yield b"data: [DONE]\n\n"

    def _generate_tokens(self, request_id, tokens):
        """Yield the tokens at the engine's rate until the request is cancelled.

        A cold engine crashes if it runs more requests than its cold capacity.
        """
        self.running_generations_ += 1
        self.counts_["max_generations"] = max(
            self.counts_["max_generations"], self.running_generations_
        )
        if self.is_cold:
            self.counts_["max_cold_generations"] = max(
                self.counts_["max_cold_generations"], self.running_generations_
            )
            if self.running_generations_ > self.announcement_fields.get("cold_capacity", 1):
                self.counts_["overload_crashes"] += 1
                self.crash()
        try:
            for token in tokens:
                gevent.sleep(self.token_interval_s)
                if request_id in self.cancelled_ids_:
                    return
                yield token
            self.counts_["responses"] += 1
        finally:
            self.running_generations_ -= 1

    def _report_periodically(self):
        while True:
            running = self.running_generations_
            gevent.sleep(LOAD_REPORT_INTERVAL_S)
            self._send_report("/v1/load-reports", running=running, waiting=0, cold=self.is_cold)

    def _send_report(self, path, **fields):
        self.counts_["reports"] += 1
        fields["sequence"] = self.counts_["reports"]
        fields |= {"upstream_id": self.upstream_id, "boot_id": self.boot_id}
        if self.routers:
            gevent.spawn(self.post_json, self.routers[0], path, fields)


def main():
    """Run a fake engine as a process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--tokens", type=int, default=20)
    parser.add_argument("--token-ms", type=float, default=10.0)
    parser.add_argument("--cache-size", type=int, default=60)
    parser.add_argument("--warm-after", type=int, default=0)
    parser.add_argument("--model", action="append", default=[])
    options = parse_options(parser)
    run_fake(
        FakeEngine,
        options,
        default_tokens=options.tokens,
        token_interval_s=options.token_ms / 1_000,
        cache_size=options.cache_size,
        warmup_responses=options.warm_after,
        models=options.model,
        crash=lambda: os._exit(1),
    )


if __name__ == "__main__":
    main()
