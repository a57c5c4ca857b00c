"""A bad version gets requests again after a second order and restarts."""

import collections
import json
import pathlib
import time

from review import harness
from review import versions
from tools import platform_site as documents

DURATION_S = 15
DRAIN_AFTER_S = 9.0
FAILING_SHARE = 0.45
ROLLBACK_S = 5.0
CONTACT_S = 3.0
SHARE, SLACK = 0.1, 50


def check(record, has_trouble):
    """Return the violations of EXPOSURE."""
    site = harness.Site(record, 4)
    store = site.server.store
    engines = {}
    disturbed = collections.defaultdict(list)

    def add(name, version, failing_share=0.0):
        for number in (1, 2):
            identity = f"{name}-{number}"
            engine = versions.Engine(identity, version, record, failing_share)
            engines[identity] = engine
            versions.register(store, engine, f"z{number}")

    def get_state():
        status = store.objects["rollouts", "s"]["status"]
        return status and status["state"]

    def start_all():
        for name in site.names:
            site.start(name)
            disturbed[name].append(site.started_s[name])

    try:
        add("old", "v1")
        store.put("config", "main", documents.make_configuration(1))
        start_all()
        harness.wait_until(lambda: all(map(site.is_ready, site.names)))
        clients = versions.Clients(site)
        clients.start()
        time.sleep(4)
        add("bad", "v2", FAILING_SHARE)
        order = {"service": "s", "target": "v2", "durationS": DURATION_S}
        store.put("rollouts", "s", order)
        ordered_s = record.add("order", target="v2", duration_s=DURATION_S)
        harness.wait_until(lambda: get_state() == "rolled_back", DURATION_S)
        back_s = record.add("state", state="rolled_back")
        time.sleep(0.5)
        add("new", "v3")
        store.put("rollouts", "s", order | {"target": "v3"})
        record.add("order", target="v3", duration_s=DURATION_S)
        time.sleep(0.2)
        if has_trouble:
            for name in site.names:
                site.kill(name)
            time.sleep(0.3)
            start_all()
        _sleep_until(record, back_s + DRAIN_AFTER_S)
        for number in (1, 2):
            engine = engines[f"bad-{number}"]
            versions.register(store, engine, f"z{number}", "draining")
        record.add("drain", version="v2")
        _sleep_until(record, ordered_s + DURATION_S)
        clients.stopped.set()
        time.sleep(2.5)
        record.add("status", text=json.dumps(store.objects["rollouts", "s"]))
    finally:
        site.close()
    return list(_judge(engines, clients, disturbed, ordered_s, record))


def _judge(engines, clients, disturbed, ordered_s, record):
    """Yield the violations of the rule."""

    def is_in_touch(name, at_s):
        since_s = at_s - CONTACT_S
        return not any(since_s <= each <= at_s for each in disturbed[name])

    end_s = ordered_s + DURATION_S
    runs = [
        (at_s, attempt, status, engine.version)
        for engine in engines.values()
        for at_s, attempt, status in engine.runs
        if ordered_s <= at_s <= end_s
    ]
    bad = sorted(each for each in runs if each[3] == "v2")
    counted = [
        each for each in bad if is_in_touch(clients.sent[each[1]][1], each[0])
    ]
    allowed = SHARE * len(runs) + SLACK
    record.add(
        "summary",
        requests=len(runs),
        bad=len(bad),
        counted=len(counted),
        allowed=f"{allowed:.0f}",
    )
    print(f"{len(runs)} {len(bad)} {len(counted)} allowed {allowed:.0f}")
    if len(counted) > allowed:
        yield (
            f"EXPOSURE: {len(counted)} of {len(runs)} requests reached the "
            f"bad version from machines in touch; allowed {allowed:.0f}"
        )
    failed = [each for each in bad if each[2] == 500]
    if len(failed) >= 50:
        known_s = failed[49][0]
        late = [
            each
            for each in counted
            if clients.sent[each[1]][0] > known_s + ROLLBACK_S
        ]
        print(f"50th bad answer at {known_s:.2f}, {len(late)} later")
        if late:
            yield (
                f"EXPOSURE: {len(late)} requests were sent to it over "
                f"{ROLLBACK_S:g} s after its 50th bad answer"
            )


def _sleep_until(record, at_s):
    """Sleep until a time of the record."""
    time.sleep(max(0.0, at_s - record.now_s()))


if __name__ == "__main__":
    harness.run_case(pathlib.Path(__file__).parent, check)
