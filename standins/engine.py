"""Stand-in for a model engine."""

import collections
import json
import threading
import time

import attrs
import xxhash

from standins import batch
from standins import control
from standins import endpoint
from standins import http
from standins import orders
from standins import prefix

__all__ = ["Engine", "Prompt", "main", "make_token"]

_TOKEN_RANGE = 997
# Prompt tokens prefilled in the time of one decoded token.
_PREFILL_SPEEDUP = 50.0
_MAX_TOKENS = 4096
_EXPORTS_KEPT = 1024
_CROSSED_ID = "crossed-0"


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
        Length of the answer, counting the resumed tokens.
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
    computed, cached : int
        Tokens computed in the prefill, and words taken from the cache.
    made : int
        Tokens of the answer so far, including the resumed ones.
    """

    prompt: Prompt
    prefixes: list
    computed: int = 0
    cached: int = 0
    made: int = 0
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


def make_token(version, prompt, place):
    """Return the token at a position of an answer."""
    digest = xxhash.xxh32_intdigest(f"{version}{prompt}{place}".encode())
    return f" t{digest % _TOKEN_RANGE}"


class Engine(endpoint.Endpoint):
    """Model engine with slots, a prefix cache and load orders.

    Parameters
    ----------
    options : argparse.Namespace
        Parsed options.
    """

    def __init__(self, options):
        super().__init__(options)
        self._batch = batch.Batch(options.slots)
        self._cache = prefix.PrefixCache()
        self._loader = orders.Loader(options.version)
        self._counters = _Counters()
        self._runs = {}
        self._exports = collections.OrderedDict()
        self._imports = collections.OrderedDict()
        self._lock = threading.Lock()

    def make_routes(self):
        """Return the routes of the engine."""
        return control.make_routes(
            self.faults.add, self.faults.clear, self._count
        ) + [
            http.Route("POST", "/v1/generate", self._generate),
            http.Route("POST", "/v1/cancel", self._cancel),
            http.Route("GET", "/v1/load", self._show_load),
            http.Route("GET", "/v1/cache-events", self._show_events),
            http.Route("POST", "/v1/orders", self._take_order),
            http.Route("GET", "/v1/kv/(.+)", self._export),
            http.Route("PUT", "/v1/kv/(.+)", self._import),
        ]

    def _count(self):
        return attrs.asdict(self._counters) | {
            "requests_running": self._batch.running,
            "ledger": self.ledger.list_entries("generate"),
            "arrived": self.ledger.list_entries("generate", "arrived"),
        }

    def _add(self, **counts):
        with self._lock:
            for name, count in counts.items():
                total = getattr(self._counters, name) + count
                setattr(self._counters, name, total)

    def _generate(self, request):
        prompt = self._read_prompt(request)
        refused = self.admit(
            "generate", prompt.version, prompt.request_id, prompt.prompt
        )
        if refused:
            self._add(requests_refused=1)
            return refused
        if not self._loader.is_loaded(prompt.version):
            self._add(requests_refused=1)
            return self.refuse(prompt.request_id, "version not loaded")
        self._note("arrived", prompt)
        run = _Run(prompt, prefix.hash_prefixes(prompt.prompt))
        self._runs[prompt.request_id] = run
        return http.Stream(self._write_lines(run))

    def _read_prompt(self, request):
        """Return the body, with an empty version replaced by the engine's."""
        prompt = Prompt(**request.json())
        version = prompt.version or self.options.version
        return attrs.evolve(prompt, version=version)

    def _note(self, step, prompt):
        self.ledger.add(
            step=step,
            kind="generate",
            request_id=prompt.request_id,
            version=prompt.version,
        )

    def _write_lines(self, run):
        """Yield the lines of an answer; closing the generator ends the run."""
        if not self._batch.enter(run.prompt.priority, lambda: run.cancelled):
            self._add(requests_cancelled=1)
            return
        ended = False
        try:
            self._note("ran", run.prompt)
            self._prefill(run)
            yield from self._decode(run)
            ended = not run.cancelled
        finally:
            self._batch.leave()
            self._keep_export(run)
            counter = "requests_run" if ended else "requests_cancelled"
            self._add(**{counter: 1})

    def _prefill(self, run):
        """Compute the tokens that neither the cache nor an import holds."""
        prompt = run.prompt
        words = len(prompt.prompt.split())
        resumed = len(prompt.resume_tokens)
        imported = self._imports.pop(prompt.request_id, 0)
        run.cached = min(words, self._cache.match(run.prefixes))
        covered = max(run.cached, min(imported, words + resumed))
        run.computed = words + resumed - covered
        run.made = resumed
        self._wait(run, run.computed / _PREFILL_SPEEDUP)
        self._cache.add(run.prefixes)
        self._add(
            computed_prompt_tokens=run.computed,
            cached_prompt_tokens=covered,
            recomputed_prompt_tokens=run.computed if resumed else 0,
        )

    def _decode(self, run):
        """Yield a line for each token, then the end line.

        Under the ``truncate`` fault the answer stops halfway without an end
        line; under ``drop_answer`` the connection is closed halfway.
        """
        prompt = run.prompt
        wanted = min(prompt.max_tokens, _MAX_TOKENS)
        answers = self._choose_answer(prompt)
        dropped = self.faults.take("drop_answer")
        stop = (run.made + wanted) // 2
        stop = stop if self.faults.take("truncate") else None
        for place in range(run.made, wanted):
            self._wait(run, 1.0)
            if run.cancelled or place == stop:
                return
            if dropped and place * 2 >= wanted:
                raise http.ConnectionCutError
            run.made = place + 1
            self._add(tokens_computed=1)
            yield _encode(
                request_id=answers.request_id,
                seq=place,
                token=make_token(prompt.version, answers.prompt, place),
            )
            self.faults.crash_after_effect()
        yield _encode(
            request_id=answers.request_id,
            seq=max(wanted, run.made),
            end=True,
            computed_prompt_tokens=run.computed,
            cached_prompt_tokens=run.cached,
        )

    def _choose_answer(self, prompt):
        """Return the prompt to answer: under ``cross`` that of another run."""
        if not self.faults.take("cross"):
            return prompt
        others = (
            run.prompt
            for request_id, run in list(self._runs.items())
            if request_id != prompt.request_id
        )
        crossed = attrs.evolve(
            prompt, request_id=_CROSSED_ID, prompt=prompt.prompt + " crossed"
        )
        return next(others, crossed)

    def _wait(self, run, steps):
        self.faults.hold_if_frozen()
        step_s = self.faults.scale_time(
            self.options.token_time_s, "generate", run.prompt.version
        )
        time.sleep(steps * step_s)
        self.faults.hold_if_frozen()

    def _keep_export(self, run):
        """End a run and keep its token count for an export of its cache."""
        request_id = run.prompt.request_id
        with self._lock:
            if self._runs.get(request_id) is run:
                del self._runs[request_id]
            self._exports[request_id] = run
            while len(self._exports) > _EXPORTS_KEPT:
                self._exports.popitem(last=False)

    def _cancel(self, request):
        run = self._runs.get(request.json()["request_id"])
        if run:
            run.cancelled = True
        return http.reply_json(200, {"cancelled": run is not None})

    def _show_load(self, _request):
        return self.report_load(
            lambda: endpoint.LoadReport(
                self._batch.running,
                self._batch.queued,
                self._batch.slots,
                self._loader.list_versions(),
                self._cache.get_used_share(),
                time.monotonic(),
            )
        )

    def _show_events(self, request):
        after = int(request.query.get("after", 0))
        items = self._cache.list_events(after)
        return http.reply_json(200, {"items": items})

    def _take_order(self, request):
        self.faults.hold_if_frozen()
        order = orders.Order(**request.json())
        checks_fence = self.faults.get("ignore_fence") is None
        status = self._loader.carry_out(order, checks_fence)
        return http.reply_json(
            status, {"versions": self._loader.list_versions()}
        )

    def _export(self, _request, request_id):
        run = self._runs.get(request_id) or self._exports.get(request_id)
        if run is None:
            return http.reply_json(404, {"reason": "no such request"})
        words = len(run.prompt.prompt.split())
        exported = {"tokens": words + run.made, "prefixes": run.prefixes}
        body = json.dumps(exported).encode()
        return http.Reply(200, body, (), "application/octet-stream")

    def _import(self, request, request_id):
        imported = request.json()
        self._cache.add(imported["prefixes"])
        with self._lock:
            self._imports[request_id] = int(imported["tokens"])
            while len(self._imports) > _EXPORTS_KEPT:
                self._imports.popitem(last=False)
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
