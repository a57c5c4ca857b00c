import json
import zlib

from behave import given
from behave import then
from behave import when

from mulberryhollow.coordination import sharing
from mulberryhollow.protocol import aggregates

ROUND_S = 0.5


class Instance:
    """One instance with its aggregate table."""

    def __init__(self, name, domain):
        self.name = name
        self.domain = domain
        self.table = sharing.AggregateTable(name)
        self.is_running = True


@given("instances in the domains {domains}")
def make_instances(context, domains):
    context.instances = [
        Instance(f"i{index}", domain)
        for index, domain in enumerate(domains.split())
    ]
    context.now_s = 0.0


def find_collector(context, domain):
    """Return the collector of a domain among its running instances."""
    inside = {
        each.name: each
        for each in context.instances
        if each.domain == domain and each.is_running
    }
    return inside[sharing.rank_collectors(domain, inside)[0]]


def run_round(context, local):
    """Let every instance send its report once."""
    context.now_s += ROUND_S
    now_s = context.now_s
    local = sharing.Total(local, 1)
    running = [each for each in context.instances if each.is_running]
    for each in running:
        each.table.merge_member(each.name, local, now_s)
        collector = find_collector(context, each.domain)
        if collector is not each:
            collector.table.merge_member(each.name, local, now_s)
            total = collector.table.sum_all(now_s)
            each.table.merge_reply(total, local, now_s)
            continue
        for domain in {other.domain for other in running} - {each.domain}:
            other = find_collector(context, domain)
            total = each.table.sum_domain(now_s)
            other.table.merge_domain(each.domain, total, now_s)
            reply = other.table.sum_domain(now_s)
            each.table.merge_domain(domain, reply, now_s)


@when(
    "each instance has a demand of {amount:d} and reports for "
    "{rounds:d} rounds"
)
def run_rounds(context, amount, rounds):
    context.local = sharing.Amounts({"acme": amount})
    for _ in range(rounds):
        run_round(context, context.local)


@when("instance {index:d} stops and the others report for {rounds:d} rounds")
def stop_instance(context, index, rounds):
    context.instances[index].is_running = False
    for _ in range(rounds):
        run_round(context, context.local)


@then("each instance receives a demand of {amount:d} from {count:d} others")
def check_remote_total(context, amount, count):
    for each in context.instances:
        if each.is_running:
            remote = each.table.sum_remote(context.now_s)
            demand = remote.amounts.demand.get("acme", 0)
            assert (demand, remote.count) == (amount, count), each.name


@then("bytes that are not a report are refused")
def check_malformed_reports(context):
    report = aggregates.AggregateReport(
        "i", "d", sharing.Total(sharing.Amounts(), 1)
    )
    assert aggregates.decode_report(aggregates.encode_report(report)) == report
    for data in (b"", b"x", zlib.compress(b"{}"), zlib.compress(b"[1]")):
        try:
            aggregates.decode_report(data)
        except ValueError:
            continue
        raise AssertionError(data)


def encode_work_times(work_times):
    amounts = sharing.Amounts(work_times=work_times)
    report = aggregates.AggregateReport("i1", "a", sharing.Total(amounts, 1))
    return report, aggregates.encode_report(report)


@then("a report without work times has the tables of level 0 only")
def check_tables(context):
    _, data = encode_work_times({})
    amounts = json.loads(zlib.decompress(data))["total"]["amounts"]
    assert sorted(amounts) == ["demand", "loads", "work"], amounts


@then("a report with work times is read back unchanged")
def check_work_times(context):
    report, data = encode_work_times({"chat": 2})
    assert aggregates.decode_report(data) == report
