import attrs
from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from mulberryhollow.coordination import membership
from mulberryhollow.state.facts import Fact
from mulberryhollow.state.facts import Topic
from mulberryhollow.state.objects import StoredObject
from tests import membership_cluster

ALIVE = membership.MemberStatus.ALIVE
SUSPECT = membership.MemberStatus.SUSPECT
DEAD = membership.MemberStatus.DEAD
LEFT = membership.MemberStatus.LEFT
START_S = membership_cluster.START_S


def name_node(number):
    return f"i-{number:04d}"


def name_domain(number):
    return f"fd-{number:02d}"


def make_document(version, size=20):
    return Fact(Topic.DOCUMENT, "production", version, bytes(size))


def list_statuses(cluster, name):
    views = cluster.nodes[name].membership.list_members()
    return {view.member.instance_id: view.status for view in views}


def is_status_everywhere(cluster, name, status, but=()):
    return all(
        cluster.find_status(other, name) is status
        for other in cluster.nodes
        if other != name and other not in but
    )


@given("{count:d} simulated nodes in {domains:d} failure domains")
def make_nodes(context, count, domains):
    context.members = membership_cluster.make_members(count, domains)
    context.cluster = membership_cluster.Cluster(context.members)
    context.cluster.run(3)


@given(
    "{count:d} simulated nodes in {domains:d} failure domains and"
    " {regions:d} regions"
)
def make_far_nodes(context, count, domains, regions):
    members = membership_cluster.make_members(count, domains, regions)
    context.cluster = membership_cluster.Cluster(members)
    context.cluster.run(2)


@given(
    "{count:d} simulated nodes that lose {loss:d}% and duplicate"
    " {duplication:d}% of the messages"
)
def make_lossy_nodes(context, count, loss, duplication):
    context.cluster = membership_cluster.Cluster(
        membership_cluster.make_members(count, 4),
        loss=loss / 100,
        duplication=duplication / 100,
    )


@given(
    "the membership of node 0 among {count:d} members in {domains:d}"
    " failure domains"
)
def make_membership(context, count, domains):
    context.members = membership_cluster.make_members(count, domains)
    context.node_membership = membership.Membership(
        context.members[0], START_S
    )
    context.node_membership.apply_list(context.members, START_S)


@when("node {number:d} is frozen for {for_s:d} seconds")
def freeze_node(context, number, for_s):
    context.cluster.freeze(name_node(number))
    context.cluster.run(for_s)


@when("node 0 is frozen until node 4 suspects it")
def freeze_until_suspected(context):
    cluster = context.cluster
    cluster.freeze("i-0000")
    context.member_facts = []
    for node in cluster.nodes.values():
        node.table.subscribe(Topic.MEMBER, context.member_facts.append)
    is_met = cluster.run_until(
        lambda: cluster.find_status("i-0004", "i-0000") is SUSPECT, 10
    )
    assert is_met


@then("every other node considers node {number:d} dead")
def check_dead(context, number):
    assert is_status_everywhere(context.cluster, name_node(number), DEAD)


@then("{for_s:d} seconds after it resumes every node considers node 0 alive")
def check_resumed(context, for_s):
    context.cluster.thaw("i-0000")
    context.cluster.run(for_s)
    assert is_status_everywhere(context.cluster, "i-0000", ALIVE)


@then("node 0 has suspected nobody")
def check_suspected_nobody(context):
    statuses = list_statuses(context.cluster, "i-0000")
    assert set(statuses.values()) == {ALIVE}
    assert len(statuses) == 8


@then("no node has ever considered node 0 dead")
def check_never_dead(context):
    states = [membership.decode_fact(fact) for fact in context.member_facts]
    assert states
    assert DEAD not in {state.status for state in states}


@when("node 0 is started again with incarnation {incarnation:d}")
def restart_node(context, incarnation):
    former = context.cluster.nodes["i-0000"].membership.local_member
    member = attrs.evolve(former, incarnation=incarnation)
    context.former = former
    context.cluster.frozen.discard("i-0000")
    context.cluster.start(member, context.members)


@then(
    "after {for_s:d} seconds every node considers incarnation"
    " {incarnation:d} of node 0 alive"
)
def check_restarted(context, for_s, incarnation):
    context.cluster.run(for_s)
    check_incarnation(context, incarnation)


def check_incarnation(context, incarnation):
    for node in context.cluster.nodes.values():
        view = node.membership.find_member("i-0000")
        assert view.member.incarnation == incarnation
        assert view.status is ALIVE


def send_to_all(context, state):
    cluster = context.cluster
    fact = membership.encode_fact(state, cluster.now_s)
    late = membership.Exchange(0, (fact,))
    for node in cluster.nodes.values():
        node.answer("i-0001", late, cluster.now_s, cluster.now_s)


@then("a late fact of incarnation 1 of node 0 changes nothing")
def check_late_fact(context):
    send_to_all(context, membership.MemberState(context.former, 7))
    check_incarnation(context, 2)


@then("a late suspicion of incarnation 1 of node 0 changes nothing")
def check_late_suspicion(context):
    send_to_all(context, membership.MemberState(context.former, 9, DEAD))
    check_incarnation(context, 2)


@when("a new instance starts at the address of node 0")
def replace_instance(context):
    cluster = context.cluster
    former = cluster.nodes["i-0000"].membership.local_member
    cluster.freeze("i-0000")
    context.new = attrs.evolve(former, instance_id="i-0100", incarnation=2)
    cluster.start(context.new, context.members)
    cluster.run(3)


@then("the new instance considers node 0 dead")
def check_replaced(context):
    assert context.cluster.find_status("i-0100", "i-0000") is DEAD
    assert context.cluster.find_status("i-0004", "i-0100") is ALIVE


@then(
    "the incarnation after {previous:d} at wall-clock time {wall_s:d} seconds"
    " is {value:d}"
)
def check_next_incarnation(context, previous, wall_s, value):
    assert membership.find_next_incarnation(wall_s, previous) == value


@when(
    "a network partition separates failure domains 0 and 1 for {for_s:d}"
    " seconds"
)
def partition_domains(context, for_s):
    context.cluster.partition(name_domain(0), name_domain(1))
    context.cluster.run(for_s)


@then("no node suspects any member")
def check_no_suspicions(context):
    for name in context.cluster.nodes:
        statuses = list_statuses(context.cluster, name)
        assert set(statuses.values()) == {ALIVE}


@then(
    "a document published in failure domain 0 reaches every node in 7 seconds"
)
def check_published_during_partition(context):
    document = make_document(1)
    context.cluster.publish("i-0000", document)
    context.cluster.run(7)
    assert context.cluster.all_know(document)


@then("nodes 0 and 4 do not reach failure domain 1")
def check_unreachable(context):
    for name in ("i-0000", "i-0004"):
        views = context.cluster.nodes[name].membership.list_members()
        unreachable = {
            view.member.failure_domain for view in views if not view.is_usable
        }
        assert unreachable == {name_domain(1)}


@then(
    "{for_s:d} seconds after the partition heals every node reaches every"
    " other one"
)
def check_healed(context, for_s):
    context.cluster.heal(name_domain(0), name_domain(1))
    context.cluster.run(for_s)
    for node in context.cluster.nodes.values():
        assert all(view.is_usable for view in node.membership.list_members())


@when("all nodes but node 0 are frozen for {for_s:d} seconds")
def freeze_others(context, for_s):
    for name in list(context.cluster.nodes)[1:]:
        context.cluster.freeze(name)
    context.cluster.run(for_s)


@then("node 0 suspects nobody")
def check_suspects_nobody(context):
    statuses = list_statuses(context.cluster, "i-0000")
    assert set(statuses.values()) == {ALIVE}


@when("node 4 misses two heartbeats of node 0")
def miss_twice(context):
    assert context.node_membership.record_missed_heartbeat("i-0004") == ()
    context.probes = context.node_membership.record_missed_heartbeat("i-0004")


@then("three helpers are asked to probe node 4")
def check_helpers(context):
    assert {action.target for action in context.probes} == {"i-0004"}
    helpers = {action.helper for action in context.probes}
    assert len(helpers) == 3
    assert not helpers & {"i-0000", "i-0004"}


def answer_probes(context, answers):
    return [
        context.node_membership.record_probe_result(
            action.helper, "i-0004", is_reached, START_S, START_S
        )
        for action, is_reached in zip(context.probes, answers, strict=True)
    ]


@then("no suspicion is published when one of them reaches node 4")
def check_confirmed(context):
    assert answer_probes(context, (False, True, False)) == [(), (), ()]


@then("a late probe result of a helper changes nothing")
def check_late_probe_result(context):
    assert answer_probes(context, (False, False, False)) == [(), (), ()]
    assert context.node_membership.find_member("i-0004").status is ALIVE


@when("node 0 leaves")
def leave_node(context):
    context.cluster.leave("i-0000")


@then("after {for_s:d} seconds every other node considers node 0 to have left")
def check_left(context, for_s):
    context.cluster.run(for_s)
    assert is_status_everywhere(context.cluster, "i-0000", LEFT)


@then("a list that still names node 0 changes nothing")
def check_stale_list(context):
    apply_list(context, context.members)
    assert is_status_everywhere(context.cluster, "i-0000", LEFT)


@then("a list that lacks node 1 changes nothing")
def check_short_list(context):
    apply_list(context, context.members[2:])
    assert is_status_everywhere(
        context.cluster, "i-0001", ALIVE, but=("i-0000",)
    )


def apply_list(context, listed):
    cluster = context.cluster
    for node in cluster.nodes.values():
        node.add_members(listed, cluster.now_s, cluster.now_s)
    cluster.run(2)


@when("node 0 suspects node 4 and is then paused for {for_s:d} seconds")
def pause_node(context, for_s):
    context.node_membership.record_missed_heartbeat("i-0004")
    context.probes = context.node_membership.record_missed_heartbeat("i-0004")
    published = answer_probes(context, (False, None, False))
    assert membership.decode_fact(published[-1][0]).status is SUSPECT
    now_s = START_S + for_s
    context.published = context.node_membership.begin_round(now_s, now_s)


@then("node 0 does not consider node 4 dead at once")
def check_pause(context):
    assert context.node_membership.find_member("i-0004").status is SUSPECT


@then("node 0 renews its member fact")
def check_renewal(context):
    (fact,) = context.published
    state = membership.decode_fact(fact)
    assert (fact.key, state.renewals, state.status) == ("i-0000", 1, ALIVE)


@when("node 0 receives a fact that it is dead")
def suspect_node(context):
    state = membership.MemberState(context.members[0], 3, DEAD)
    context.suspicion = membership.encode_fact(state, START_S)
    context.published = context.node_membership.apply_fact(
        context.suspicion, START_S, START_S
    )


@then("node 0 refutes it with a fact of a later version")
def check_answer(context):
    (fact,) = context.published
    assert fact.version > context.suspicion.version
    assert membership.decode_fact(fact).status is ALIVE


@when("a peer sends malformed member facts to node 0")
def send_malformed(context):
    values = (b"", b"7", b"[1]", b"\xff", b'{"a": 1}')
    found = tuple(
        Fact(Topic.MEMBER, f"x-{number}", 1 << 30, value)
        for number, value in enumerate(values)
    )
    node = context.cluster.nodes["i-0000"]
    node.answer("i-0001", membership.Exchange(0, found), START_S, START_S)


@then("node 0 still has {count:d} members")
def check_members(context, count):
    assert len(list_statuses(context.cluster, "i-0000")) == count


@then("a registration object decodes to its member")
def check_registration(context):
    member = membership_cluster.make_member(1, "fd-1", "r-1", 77)
    value = membership.encode_registration(member)
    assert membership.decode_registration(value) == member


@then("a malformed registration object raises a value error")
def check_malformed_registration(context):
    for value in (b"", b"[]", b"7", b'{"a": 1}', b"\xff"):
        try:
            membership.decode_registration(value)
        except ValueError:
            continue
        raise AssertionError(value)


@when("every node publishes a verdict")
def publish_verdicts(context):
    for name in context.cluster.nodes:
        context.cluster.publish(name, Fact(Topic.VERDICT, name, 1, b"bad"))


@then("all nodes hold the same lasting facts within {limit_s:d} seconds")
def check_same(context, limit_s):
    cluster = context.cluster
    took_s = cluster.run_until(lambda: agrees(cluster), limit_s)
    assert took_s is not None


def agrees(cluster):
    digests = {node.table.compute_digest() for node in cluster.nodes.values()}
    verdicts = {
        len(node.table.list_facts(Topic.VERDICT))
        for node in cluster.nodes.values()
    }
    return len(digests) == 1 and verdicts == {len(cluster.nodes)}


@when("a document is published by node {number:d}")
def publish_document(context, number):
    context.document = make_document(1)
    context.cluster.publish(name_node(number), context.document)


@when("a document of {size:d} bytes is published by node 0")
def publish_large(context, size):
    context.receivers = []
    for node in context.cluster.nodes.values():
        count_arrivals(node, context.receivers)
    context.document = make_document(1, size)
    context.cluster.publish("i-0000", context.document)


def count_arrivals(node, receivers):
    merge = node.table.merge

    def merge_and_count(fact, *arguments, **named):
        if fact.topic == Topic.DOCUMENT.value:
            receivers.append(node)
        return merge(fact, *arguments, **named)

    node.table.merge = merge_and_count


@then("each node but node 0 received the document once")
def check_arrivals(context):
    arrivals = context.receivers[1:]
    assert len(arrivals) == len(set(map(id, arrivals))) == 7


@then("every node has the document within {limit_s:d} seconds")
def check_disseminated(context, limit_s):
    context.cluster.run(limit_s)
    assert context.cluster.all_know(context.document)


@when("two relays of each failure domain are frozen")
def freeze_relays(context):
    cluster = context.cluster
    members = [node.membership.local_member for node in cluster.nodes.values()]
    layouts = {
        member.failure_domain: membership.Topology(member, members)
        for member in members
    }
    context.frozen = [
        name for layout in layouts.values() for name in layout.relays[:2]
    ]
    for name in context.frozen:
        cluster.freeze(name)


@when("a document is published by a running node")
def publish_from_running(context):
    cluster = context.cluster
    context.document = make_document(1)
    running = (name for name in cluster.nodes if name not in cluster.frozen)
    cluster.publish(next(running), context.document)


@then("every running node has the document within {limit_s:d} seconds")
def check_running(context, limit_s):
    context.cluster.run(limit_s)
    assert context.cluster.all_know(context.document, but=context.frozen)


@then("the relays have the document {for_s:d} seconds after they resume")
def check_relays(context, for_s):
    for name in context.frozen:
        context.cluster.thaw(name)
    context.cluster.run(for_s)
    assert context.cluster.all_know(context.document)


@then("a relay has at most 3 targets a round and others have 1")
def check_fan_out(context):
    for count in (16, 64, 832):
        members = membership_cluster.make_members(count, 16, 5)
        for local_member in members[::13]:
            layout = membership.Topology(local_member, members)
            max_targets = 3 if layout.is_relay else 1
            found = [len(layout.list_round_targets(turn)) for turn in range(9)]
            assert max(found, default=0) <= max_targets
            assert len(layout.list_urgent_targets(1, False)) <= 4 + 3 + 4
            assert len(layout.list_urgent_targets(1, True)) <= 4 + 3 + 15


@then("every member is the ring target of one other in each round")
def check_ring(context):
    members = membership_cluster.make_members(30, 1)
    layouts = [
        membership.Topology(local_member, members) for local_member in members
    ]
    for turn in range(6):
        targets = [layout.list_round_targets(turn)[0] for layout in layouts]
        assert len(set(targets)) == len(members)


@given("a node whose byte budget is spent")
def make_node_without_budget(context):
    members = membership_cluster.make_members(2, 1)
    context.node = membership.PeerNode(members[0], members, START_S, START_S)
    context.node.budget.charge(100_000, START_S)


@when("the node has a verdict and a counter snapshot that a peer lacks")
def publish_two(context):
    for topic in (Topic.COUNTERS, Topic.VERDICT):
        fact = Fact(topic, "a", 1, b"value")
        context.node.publish(fact, START_S)


def list_topics(context, now_s):
    (action,) = context.node.begin_round(now_s, now_s)
    reply = membership.Exchange(0)
    context.node.handle_reply(action.target, reply, now_s, now_s)
    return [fact.topic for fact in action.exchange.facts]


@then("the next message to the peer has the verdict and the local member fact")
def check_urgent_only(context):
    assert list_topics(context, START_S + 1) == ["verdict", "member"]


@then("the leave announcement is sent even with another message in flight")
def check_leave_announcement(context):
    assert context.node.begin_round(START_S + 1, START_S + 1)
    context.node.leave(START_S + 1)
    (action,) = context.node.send_urgent(START_S + 1)
    context.node.handle_failure(action.target)
    assert [fact.topic for fact in action.exchange.facts] == ["member"]


@then("the counter snapshot follows when the byte budget is refilled")
def check_snapshot_sent(context):
    assert "counters" in list_topics(context, START_S + 60)


class RandomFaults(stateful.RuleBasedStateMachine):
    """Six nodes in three failure domains under random faults."""

    numbers = strategies.integers(0, 5)

    def __init__(self):
        super().__init__()
        self.members = membership_cluster.make_members(6, 3)
        self.cluster = membership_cluster.Cluster(
            self.members, loss=0.1, duplication=0.1
        )
        self.version = 0
        self.seen_versions = {}

    @stateful.rule(number=numbers)
    def publish(self, number):
        self.version += 1
        document = make_document(self.version, 2_000 * (self.version % 2))
        self.cluster.publish(name_node(number), document)

    @stateful.rule(number=numbers)
    def freeze(self, number):
        self.cluster.freeze(name_node(number))

    @stateful.rule(number=numbers)
    def thaw(self, number):
        if name_node(number) in self.cluster.frozen:
            self.cluster.thaw(name_node(number))

    @stateful.rule(number=numbers)
    def restart(self, number):
        name = name_node(number)
        former = self.cluster.nodes[name].membership.local_member
        member = attrs.evolve(former, incarnation=former.incarnation + 1)
        self.cluster.frozen.discard(name)
        self.seen_versions.pop(name, None)
        self.cluster.start(member, self.members)

    @stateful.rule(one=strategies.integers(0, 2), by=strategies.just(1))
    def cut(self, one, by):
        domains = name_domain(one), name_domain((one + by) % 3)
        self.cluster.partition(*domains)

    @stateful.rule(for_s=strategies.sampled_from([0.3, 2.0, 8.0]))
    def wait(self, for_s):
        self.cluster.run(for_s)

    @stateful.invariant()
    def never_loses_version(self):
        for name, node in self.cluster.nodes.items():
            fact = node.table.get(Topic.DOCUMENT, "production")
            version = fact.version if fact else 0
            assert version >= self.seen_versions.get(name, 0)
            self.seen_versions[name] = version

    def teardown(self):
        self.cluster.partitions.clear()
        for name in list(self.cluster.frozen):
            self.cluster.thaw(name)
        self.cluster.run(40)
        highest = max(self.seen_versions.values(), default=0)
        document = make_document(highest)
        assert highest == 0 or self.cluster.all_know(document)
        for name in self.cluster.nodes:
            statuses = list_statuses(self.cluster, name)
            assert set(statuses.values()) == {ALIVE}


@then("nodes under random faults never lose a version and converge in the end")
def check_random_faults(context):
    stateful.run_state_machine_as_test(
        RandomFaults,
        settings=hypothesis.settings(max_examples=30, stateful_step_count=20),
    )


@given("registration objects of 3 members and a malformed one")
def make_registrations(context):
    context.members = membership_cluster.make_members(3, 1)
    context.members = [
        attrs.evolve(member, incarnation=50) for member in context.members
    ]
    context.objects = [
        StoredObject(
            membership.KIND,
            member.instance_id,
            number + 7,
            membership.encode_registration(member),
        )
        for number, member in enumerate(context.members)
    ]
    context.objects.append(StoredObject(membership.KIND, "x", 1, b"[]"))


@when("member 1 plans its start with its clock set back")
def plan_member(context):
    local_member = context.members[1]
    context.plan = membership.plan_start(local_member, context.objects, 0.001)


@then("the planned incarnation is one above the registered one")
def check_planned_incarnation(context):
    assert context.plan.member.incarnation == 51
    planned = membership.decode_registration(context.plan.value)
    assert planned == context.plan.member


@then("the planned write expects the version of the member's object")
def check_planned_version(context):
    assert context.plan.object_version == 8


@then("the planned seeds are members 0 and 2")
def check_seeds(context):
    assert context.plan.seeds == (context.members[0], context.members[2])


@then("a new instance plans to create its object")
def check_new_plan(context):
    local_member = membership_cluster.make_member(9, "fd-00", "r-0")
    plan = membership.plan_start(local_member, context.objects, 2.0)
    assert (plan.object_version, plan.member.incarnation) == (0, 2_000)


@when("members 0 and 2 count as dead and the list still names member 2")
def mark_members_dead(context):
    context.listed = {"i-0002"}
    context.views = [
        membership.MemberView(member, status, True)
        for member, status in zip(
            context.members, (DEAD, ALIVE, DEAD), strict=True
        )
    ]


def list_removable(context, local_member):
    return membership.list_removable(
        local_member, context.views, context.objects, context.listed
    )


@then("member 1 removes the object of member 0 only")
def check_removable(context):
    assert list_removable(context, "i-0001") == (context.objects[0],)


@then("no other member removes any object")
def check_not_cleaner(context):
    assert list_removable(context, "i-0000") == ()
    assert list_removable(context, "i-0002") == ()


@then("the object of a process that registered again is kept")
def check_registered_again(context):
    later = attrs.evolve(context.members[0], incarnation=60)
    context.objects[0] = attrs.evolve(
        context.objects[0], value=membership.encode_registration(later)
    )
    assert list_removable(context, "i-0001") == ()


@when("every node publishes its level")
def publish_levels(context):
    cluster = context.cluster
    for name, node in cluster.nodes.items():
        local_member = node.membership.local_member
        cluster.publish(
            name, membership.encode_level(local_member, 0, cluster.now_s)
        )


@when("{for_s:d} seconds pass in the cluster")
def run_cluster(context, for_s):
    context.cluster.run(for_s)


@then("every node has {count:d} levels within {limit_s:d} seconds")
def check_levels(context, count, limit_s):
    cluster = context.cluster
    took_s = cluster.run_until(
        lambda: all(
            len(node.table.list_facts(Topic.NOTICE)) == count
            for node in cluster.nodes.values()
        ),
        limit_s,
    )
    assert took_s is not None


@then("no answer to a node that is met for the first time has a level")
def check_first_answer(context):
    context.cluster.run(20)
    now_s = context.cluster.now_s
    for node in context.cluster.nodes.values():
        answer = node.answer("i-new", membership.Exchange(0), now_s, now_s)
        topics = {fact.topic for fact in answer.facts}
        assert Topic.NOTICE.value not in topics, topics
