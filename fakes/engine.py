"""A fake model engine: deterministic tokens, prompt cache, cold start, resume, cancel, orders."""

import argparse
import hashlib
import json
import os
from collections import OrderedDict

import gevent

from fakes import REPORT_S, FakeUpstream, parse_options, run_fake

POISON = "CRASH-ENGINE"
CACHE_EVENT_GAP = 5
REFUSED = "409 Conflict"


def make_tokens(messages, count):
    """Return the tokens of the answer to a conversation."""
    text = "\n".join(f"{message['role']}:{message['content']}" for message in messages)
    seed = hashlib.sha256(text.encode()).hexdigest()[:12]
    return [f"{seed}-{index} " for index in range(count)]


class FakeEngine(FakeUpstream):
    """An engine.

    :param tokens: tokens of an answer whose request names no ``max_tokens``.
    :param token_s: time for each token, seconds.
    :param cache_size: conversations whose prefix is remembered.
    :param warm_after: whole answers after which it is no longer cold.
    :param crash: called when the engine falls over.
    """

    kind = "engine"

    def __init__(self, *args, tokens=20, token_s=0.01, cache_size=60, warm_after=0, **options):
        self.crash = options.pop("crash", self.fall_over)
        super().__init__(*args, **options)
        self.tokens = tokens
        self.token_s = token_s
        self.cache = OrderedDict()
        self.cache_size = cache_size
        self.warm_after = warm_after
        self.cancelled = set()
        self.fencing = 0
        self.streams = 0
        self.reporter = None

    @property
    def cold(self):
        """Whether the engine is still cold."""
        return self.counts["answers"] < self.warm_after

    def start(self):
        """Listen, announce and report."""
        super().start()
        self.reporter = gevent.spawn(self._report_forever)
        return self

    def stop(self):
        """Close at once, as a crash would."""
        self.reporter.kill()
        super().stop()

    def is_busy(self):
        """Return whether a request is running."""
        return self.running > 0 or self.streams > 0

    def announcement(self):
        """Return the fields of the next announcement."""
        return {**super().announcement(), "cold": self.cold}

    def describe(self):
        """Return what this engine counted."""
        return {**super().describe(), "cold": self.cold, "fencing": self.fencing}

    def respond(self, environ, start_response, path):
        """Serve chats, cancels, orders, and the export and import of KV cache."""
        size = int(environ.get("CONTENT_LENGTH") or 0)
        body = json.loads(environ["wsgi.input"].read(size) or b"{}")
        if path == "/v1/chat/completions":
            return self._chat(environ, start_response, body)
        if path.startswith("/v1/cancel/"):
            self.counts["cancels"] += 1
            self.cancelled.add(path.rsplit("/", 1)[1])
            return self.answer(environ, start_response, {"cancelled": True})
        if path == "/v1/orders":
            return self._order(environ, start_response, body)
        if path.startswith("/v1/kv/"):
            for key in body.get("keys", []):
                self._remember(key)
            return self.answer(environ, start_response, {"keys": list(self.cache)})
        return self.answer(environ, start_response, {}, "404 Not Found")

    def _order(self, environ, start_response, body):
        if self.options.get("checks_fencing") and body["fencing"] < self.fencing:
            self.counts["orders_refused"] += 1
            return self.answer(environ, start_response, {"fencing": self.fencing}, REFUSED)
        self.fencing = max(self.fencing, body["fencing"])
        self.records.append(body)
        return self.answer(environ, start_response, {"accepted": True})

    def _remember(self, key):
        hit = key in self.cache
        self.cache[key] = True
        self.cache.move_to_end(key)
        if len(self.cache) > self.cache_size:
            self._tell_cache("evicted", self.cache.popitem(last=False)[0])
        return hit

    def _tell_cache(self, kind, key):
        self.counts["cache_events"] += 1
        if self.counts["cache_events"] % CACHE_EVENT_GAP and self.routers and key:
            self._report("/v1/cache-events", kind=kind, conversation_key=int(key))

    def _chat(self, environ, start_response, body):
        messages = body["messages"]
        if any(POISON in str(message["content"]) for message in messages):
            self.counts["poisoned"] += 1
            self.crash()
        key = environ.get("HTTP_X_CONVERSATION_KEY", "")
        hit = self._remember(key)
        self.counts["requests"] += 1
        self.counts["prefix_hits" if hit else "prefix_misses"] += 1
        if not hit:
            self._tell_cache("stored", key)
        tokens = make_tokens(messages, body.get("max_tokens", self.tokens))
        position = int(environ.get("HTTP_X_RESUME_POSITION", 0))
        if position and "resume_text" in body:
            self.counts["resumed_elsewhere"] += 1
            if body["resume_text"] != "".join(tokens[:position]):
                return self.answer(environ, start_response, {}, REFUSED)
        self.counts["resumed"] += bool(position)
        return self._generate(environ, start_response, body, tokens, position)

    def _generate(self, environ, start_response, body, tokens, position):
        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        completion_id = "chatcmpl-" + request_id.split(".")[0]
        if not body.get("stream"):
            for _ in self._pace(request_id, tokens):
                pass
            message = {"role": "assistant", "content": "".join(tokens)}
            choices = [{"index": 0, "message": message, "finish_reason": "stop"}]
            return self.answer(environ, start_response, {"id": completion_id, "choices": choices})
        more = [("Content-Type", "text/event-stream"), ("X-Resume-Position", str(position))]
        start_response("200 OK", self.headers(environ, *more))
        return self._stream(request_id, completion_id, tokens[position:])

    def _stream(self, request_id, completion_id, tokens):
        for token in self._pace(request_id, tokens):
            choices = [{"index": 0, "delta": {"content": token}}]
            event = json.dumps({"id": completion_id, "choices": choices}, separators=(",", ":"))
            yield f"data: {event}\n\n".encode()
        yield b"data: [DONE]\n\n"

    def _pace(self, request_id, tokens):
        self.streams += 1
        self.counts["max_streams"] = max(self.counts["max_streams"], self.streams)
        if self.cold:
            self.counts["max_cold"] = max(self.counts["max_cold"], self.streams)
            if self.streams > self.options.get("cold_capacity", 1):
                self.counts["fell_over"] += 1
                self.crash()
        try:
            for token in tokens:
                gevent.sleep(self.token_s)
                if request_id in self.cancelled:
                    return
                yield token
            self.counts["answers"] += 1
        finally:
            self.streams -= 1

    def _report_forever(self):
        while True:
            running = self.streams
            gevent.sleep(REPORT_S)
            self._report("/v1/load-reports", running=running, waiting=0, cold=self.cold)

    def _report(self, path, **fields):
        self.counts["reports"] += 1
        fields["sequence"] = self.counts["reports"]
        fields |= {"upstream_id": self.upstream_id, "boot_id": self.boot_id}
        if self.routers:
            gevent.spawn(self.post, self.routers[0], path, fields)


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
        tokens=options.tokens,
        token_s=options.token_ms / 1_000,
        cache_size=options.cache_size,
        warm_after=options.warm_after,
        models=options.model,
        crash=lambda: os._exit(1),
    )


if __name__ == "__main__":
    main()
