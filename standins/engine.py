"""Stand-in for a model engine."""

import collections
import json
import threading
import time

import attrs
import xxhash

from standins import control
from standins import endpoint
from standins import http
from standins import orders
from standins import prefix
from standins import priority_semaphore

__all__ = ["Engine", "Prompt", "main", "make_token"]

_DISTINCT_TOKENS = 997
# Prompt tokens prefilled in the time of one decoded token.
_PREFILL_SPEEDUP = 50.0
_MAX_TOKENS = 4096
_MAX_EXPORTS = 1024
_CROSSED_REQUEST_ID = "crossed-0"


@attrs.frozen(kw_only=True)
class Prompt:
    """Body of a generate request.

    Parameters
    ----------
    request_id : str
        Id of the request, repeated in each line of the answer.
    version : str
        Requested version; empty for the version of the engine.
    prompt : str
        Text to answer.
    max_tokens : int
        Length of the answer in tokens, including the resumed ones; 4096 at
        most.
    priority : int
        The lowest number gets a slot first.
    resume_tokens : list of str
        Tokens that the caller already has; the answer continues after them.
    """

    request_id: str
    version: str
    prompt: str
    max_tokens: int
    priority: int = 0
    resume_tokens: list = attrs.field(factory=list)


@attrs.define
class _Run:
    """A running request and the counts that its end line reports.

    Parameters
    ----------
    prompt : Prompt
        Body of the request.
    prefixes : list of str
        Hashes of the prompt's whole blocks.
    computed_tokens : int
        Prompt tokens and resumed tokens that the prefill computed.
    cached_tokens : int
        Prompt tokens taken from the cache. Each word of a prompt is one
        token.
    tokens_made : int
        Tokens of the answer so far, including the resumed ones.
    cancelled : bool
        Whether the caller has cancelled the request.
    """

    prompt: Prompt
    prefixes: list
    computed_tokens: int = 0
    cached_tokens: int = 0
    tokens_made: int = 0
    cancelled: bool = False


@attrs.define
class _Counters:
    """Counters since the start of the process."""

    requests_run: int = 0
    requests_cancelled: int = 0
    requests_refused: int = 0
    tokens_computed: int = 0
    computed_prompt_tokens: int = 0
    cached_prompt_tokens: int = 0
    recomputed_prompt_tokens: int = 0


def make_token(version, prompt, index):
    """Return the token at an index of an answer."""
    digest = xxhash.xxh32_intdigest(f"{version}{prompt}{index}".encode())
    return f" t{digest % _DISTINCT_TOKENS}"


class Engine(endpoint.Endpoint):
    """Model engine with slots, a prefix cache and load orders.

    Parameters
    ----------
    options : argparse.Namespace
        Parsed options.
    """

    def __init__(self, options):
        super().__init__(options)
        self._semaphore = priority_semaphore.PrioritySemaphore(options.slots)
        self._cache = prefix.PrefixCache()
        self._loader = orders.VersionLoader(options.version)
        self._counters = _Counters()
        self._runs = {}
        self._ended_runs = collections.OrderedDict()
        self._imported_tokens = collections.OrderedDict()
        self._lock = threading.Lock()

    def make_routes(self):
        """Return the routes of the engine."""
        return control.make_routes(
            self.faults.add, self.faults.clear, self._report_counters
        ) + [
            http.Route("POST", "/v1/generate", self._answer_generate),
            http.Route("POST", "/v1/cancel", self._answer_cancel),
            http.Route("GET", "/v1/load", self._answer_load),
            http.Route("GET", "/v1/cache-events", self._answer_cache_events),
            http.Route("POST", "/v1/orders", self._answer_order),
            http.Route("GET", "/v1/kv/(.+)", self._answer_export),
            http.Route("PUT", "/v1/kv/(.+)", self._answer_import),
        ]

    def _report_counters(self):
        return attrs.asdict(self._counters) | {
            "requests_running": self._semaphore.running,
            "ledger": self.ledger.list_entries("generate"),
            "arrived": self.ledger.list_entries("generate", "arrived"),
        }

    def _add_counts(self, **counts):
        with self._lock:
            for name, count in counts.items():
                total = getattr(self._counters, name) + count
                setattr(self._counters, name, total)

    def _answer_generate(self, request):
        prompt = self._parse_prompt(request)
        refusal = self.admit(
            "generate", prompt.version, prompt.request_id, prompt.prompt
        )
        if refusal:
            self._add_counts(requests_refused=1)
            return refusal
        if not self._loader.is_loaded(prompt.version):
            self._add_counts(requests_refused=1)
            return self.refuse(prompt.request_id, "version not loaded")
        self._record_step("arrived", prompt)
        run = _Run(prompt, prefix.hash_prefixes(prompt.prompt))
        self._runs[prompt.request_id] = run
        return http.Stream(self._write_lines(run))

    def _parse_prompt(self, request):
        """Return the body, with an empty version replaced by the engine's."""
        prompt = Prompt(**request.json())
        version = prompt.version or self.options.version
        return attrs.evolve(prompt, version=version)

    def _record_step(self, step, prompt):
        self.ledger.add(
            step=step,
            kind="generate",
            request_id=prompt.request_id,
            version=prompt.version,
        )

    def _write_lines(self, run):
        """Yield the lines of an answer; closing the generator ends the run."""
        if not self._semaphore.acquire(
            run.prompt.priority, lambda: run.cancelled
        ):
            self._add_counts(requests_cancelled=1)
            return
        is_complete = False
        try:
            self._record_step("ran", run.prompt)
            self._prefill(run)
            yield from self._decode(run)
            is_complete = not run.cancelled
        finally:
            self._semaphore.release()
            self._end_run(run)
            counter = "requests_run" if is_complete else "requests_cancelled"
            self._add_counts(**{counter: 1})

    def _prefill(self, run):
        """Compute the tokens that neither the cache nor an import holds."""
        prompt = run.prompt
        words = len(prompt.prompt.split())
        resumed = len(prompt.resume_tokens)
        imported = self._imported_tokens.pop(prompt.request_id, 0)
        run.cached_tokens = min(
            words, self._cache.count_cached_words(run.prefixes)
        )
        covered = max(run.cached_tokens, min(imported, words + resumed))
        run.computed_tokens = words + resumed - covered
        run.tokens_made = resumed
        self._wait_steps(run, run.computed_tokens / _PREFILL_SPEEDUP)
        self._cache.add(run.prefixes)
        self._add_counts(
            computed_prompt_tokens=run.computed_tokens,
            cached_prompt_tokens=covered,
            recomputed_prompt_tokens=run.computed_tokens if resumed else 0,
        )

    def _decode(self, run):
        """Yield a line for each token, then the end line.

        Under the ``truncate`` fault the answer stops halfway without an end
        line; under ``drop_answer`` the connection is closed halfway.
        """
        prompt = run.prompt
        end_index = min(prompt.max_tokens, _MAX_TOKENS)
        answered_prompt = self._choose_prompt(prompt)
        is_answer_dropped = self.faults.consume("drop_answer")
        stop_index = (run.tokens_made + end_index) // 2
        stop_index = stop_index if self.faults.consume("truncate") else None
        for index in range(run.tokens_made, end_index):
            self._wait_steps(run, 1.0)
            if run.cancelled or index == stop_index:
                return
            if is_answer_dropped and index * 2 >= end_index:
                raise http.ConnectionCutError
            run.tokens_made = index + 1
            self._add_counts(tokens_computed=1)
            yield _encode(
                request_id=answered_prompt.request_id,
                seq=index,
                token=make_token(
                    prompt.version, answered_prompt.prompt, index
                ),
            )
            self.faults.crash_after_effect()
        yield _encode(
            request_id=answered_prompt.request_id,
            seq=max(end_index, run.tokens_made),
            end=True,
            computed_prompt_tokens=run.computed_tokens,
            cached_prompt_tokens=run.cached_tokens,
        )

    def _choose_prompt(self, prompt):
        """Return the prompt to answer.

        Under the ``cross`` fault that is the prompt of another run, or a
        made-up one if there is no other run.
        """
        if not self.faults.consume("cross"):
            return prompt
        others = (
            run.prompt
            for request_id, run in list(self._runs.items())
            if request_id != prompt.request_id
        )
        crossed = attrs.evolve(
            prompt,
            request_id=_CROSSED_REQUEST_ID,
            prompt=prompt.prompt + " crossed",
        )
        return next(others, crossed)

    def _wait_steps(self, run, steps):
        self.faults.wait_while_frozen()
        step_s = self.faults.scale_time(
            self.options.token_time_s, "generate", run.prompt.version
        )
        time.sleep(steps * step_s)
        self.faults.wait_while_frozen()

    def _end_run(self, run):
        """End a run and keep it, so that its cache can be exported."""
        request_id = run.prompt.request_id
        with self._lock:
            if self._runs.get(request_id) is run:
                del self._runs[request_id]
            self._ended_runs[request_id] = run
            while len(self._ended_runs) > _MAX_EXPORTS:
                self._ended_runs.popitem(last=False)

    def _answer_cancel(self, request):
        run = self._runs.get(request.json()["request_id"])
        if run:
            run.cancelled = True
        return http.reply_json(200, {"cancelled": run is not None})

    def _answer_load(self, _request):
        return self.report_load(
            lambda: endpoint.LoadReport(
                self._semaphore.running,
                self._semaphore.queued,
                self._semaphore.slots,
                self._loader.list_versions(),
                self._cache.get_used_fraction(),
                time.monotonic(),
            )
        )

    def _answer_cache_events(self, request):
        after = int(request.query.get("after", 0))
        items = self._cache.list_events(after)
        return http.reply_json(200, {"items": items})

    def _answer_order(self, request):
        self.faults.wait_while_frozen()
        order = orders.Order(**request.json())
        checks_fencing_token = self.faults.get("ignore_fence") is None
        status = self._loader.execute(order, checks_fencing_token)
        return http.reply_json(
            status, {"versions": self._loader.list_versions()}
        )

    def _answer_export(self, _request, request_id):
        run = self._runs.get(request_id) or self._ended_runs.get(request_id)
        if run is None:
            return http.reply_json(404, {"reason": "no such request"})
        words = len(run.prompt.prompt.split())
        exported = {
            "tokens": words + run.tokens_made,
            "prefixes": run.prefixes,
        }
        body = json.dumps(exported).encode()
        return http.Reply(200, body, (), "application/octet-stream")

    def _answer_import(self, request, request_id):
        imported = request.json()
        self._cache.add(imported["prefixes"])
        with self._lock:
            self._imported_tokens[request_id] = int(imported["tokens"])
            while len(self._imported_tokens) > _MAX_EXPORTS:
                self._imported_tokens.popitem(last=False)
        return http.reply_json(200, {})


def _encode(**fields):
    """Return a line of an answer, as JSON."""
    return json.dumps(fields).encode() + b"\n"


def main():
    """Serve a model engine."""
    parser = endpoint.make_parser(__doc__)
    parser.add_argument("--token-time-s", type=float, default=0.002)
    engine = Engine(parser.parse_args())
    engine.serve(engine.make_routes())


if __name__ == "__main__":
    main()
