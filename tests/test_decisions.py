"""Pure decisions: best fit, tabu search, partition assignment, attestations of freshness, rate limits."""

from __future__ import annotations

from random import Random

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from spurarch.coordination.fleet.capacity import MachineCapacity, Requirements
from spurarch.coordination.membership.partition_assignment import assign_partitions
from spurarch.coordination.membership.store_reachability import ReportedOwner, StoreReachability
from spurarch.coordination.scheduling.best_fit import best_fit
from spurarch.coordination.scheduling.tabu_search import PlacedTask, Search, Weights
from spurarch.protocol import peer_messages
from spurarch.storage.rate_limits import TokenBucket, Urgency
from spurarch.storage.records import MemberRecord, PartitionRecord

WEIGHTS = Weights(0.234, 0.512, 0.254)


def room(
    index: int, cpus: float, free: float, spot: bool = False, images: frozenset[int] = frozenset()
) -> MachineCapacity:
    """The capacity of a machine with `free` of its `cpus` CPUs free."""
    return MachineCapacity(index, 0, 0, spot, cpus, 0.0, cpus * 4, free, 0.0, cpus * 4, set(images))


def need(cpus: float, spot: bool = True, image: int = 0) -> Requirements:
    """Requirements of a task that needs `cpus` CPUs and hardly any memory."""
    return Requirements(cpus, 0.0, 0.1, None, spot, image)


@given(st.lists(st.tuples(st.integers(1, 32), st.integers(0, 32), st.booleans()), max_size=12), st.integers(1, 32))
def test_best_fit_takes_the_fullest_that_fits(machines: list[tuple[int, int, bool]], cpus: int) -> None:
    capacities = [room(i, max(c, f), min(c, f), s) for i, (c, f, s) in enumerate(machines)]
    chosen = best_fit(need(cpus, spot=False), capacities)
    fitting = [r for r in capacities if r.free_cpus >= cpus and not r.spot]
    if chosen is None:
        assert not fitting
    else:
        assert chosen in fitting
        left = (chosen.free_cpus - cpus) / chosen.cpus
        assert all(left <= (r.free_cpus - cpus) / r.cpus + 1e-5 for r in fitting)


def test_best_fit_prefers_a_cached_image_over_fullness() -> None:
    capacities = [room(0, 8, 2), room(1, 8, 8, images=frozenset([7]))]
    found = best_fit(need(1, image=7), capacities)
    assert found is capacities[1]


def search_of(data: list[tuple[int, int]], machines: int) -> Search:
    """A search over machines of 16 CPUs each; `data` holds the CPUs and the machine of each replica."""
    capacities = [room(i, 16, 16, images=frozenset([0])) for i in range(machines)]
    tasks = []
    for task, (cpus, at) in enumerate(data):
        wanted = need(cpus)
        spot = capacities[at % machines]
        if spot.fits(wanted):
            spot.book(wanted)
            tasks.append(PlacedTask(task, wanted, at % machines, at % machines, True))
    return Search(capacities, tasks, frozenset(), WEIGHTS)


@settings(max_examples=60, deadline=None)
@given(st.lists(st.tuples(st.integers(1, 6), st.integers(0, 5)), max_size=14), st.integers(2, 6), st.integers(0, 99))
def test_tabu_search_keeps_its_promises(data: list[tuple[int, int]], machines: int, seed: int) -> None:
    search = search_of(data, machines)
    held = {t.machine for t in search.tasks}
    before = search.cost()
    result = search.run(Random(seed), 40, 10, 5, 3, 0.01, lambda: False)
    assert result.cost_before == before
    assert result.cost_after <= before + 1e-9
    assert len(result.moves) <= 3
    assert all(move.target in held for move in result.moves)  # never onto an empty machine
    if result.moves:
        assert result.cost_before - result.cost_after >= 0.01
    booked = [0.0] * machines
    moved = {m.task: m.target for m in result.moves}
    for task in search.tasks:
        booked[moved.get(task.task, task.original_machine)] += task.requirements.cpus
    assert all(b <= 16 for b in booked)


def test_cost_matches_the_paper() -> None:
    """Two machines with 3 and 1 CPUs booked deviate by 1 from the mean of 2; memory is booked in the same amounts."""
    capacities = [room(0, 16, 16, images=frozenset([0])), room(1, 16, 16, images=frozenset([0]))]
    tasks = []
    for task, (cpus, at) in enumerate([(2, 0), (1, 0), (1, 1)]):
        wanted = Requirements(cpus, 0.0, cpus, None, True, 0)
        capacities[at].book(wanted)
        tasks.append(PlacedTask(task, wanted, at, at, True))
    search = Search(capacities, tasks, frozenset(), WEIGHTS)
    assert abs(search.imbalance() - (0.5 + 0.5 + 0.5 + 0.5) / (2 * 3)) < 1e-9
    result = search.run(Random(1), 20, 5, 3, 3, 0.0, lambda: False)
    assert [(m.task, m.source, m.target) for m in result.moves] == [(1, 0, 1)]
    assert abs(result.cost_after - 0.254 / 3) < 1e-9  # balanced, with one of three replicas moved


def test_an_exhausted_time_budget_stops_the_search() -> None:
    search = search_of([(1, 0)] * 6 + [(1, 1)], 2)
    result = search.run(Random(1), 40, 10, 5, 3, 0.0, lambda: True)
    assert result.iterations == 0
    assert result.moves == []


def members(*nodes: tuple[str, str]) -> dict[str, MemberRecord]:
    return {node: MemberRecord(node, "boot", area) for node, area in nodes}


def test_a_partition_goes_to_a_controller_of_its_zone_or_else_to_the_least_loaded() -> None:
    all_three = members(("n0", "a"), ("n1", "b"), ("n2", "c"))
    assert assign_partitions(["a", "b", "c", "d"], {}, all_three, set()) == {"a": "n0", "b": "n1", "c": "n2", "d": "n0"}
    parts = {z: PartitionRecord(n, 1) for z, n in (("a", "n0"), ("b", "n1"), ("c", "n2"), ("d", "n0"))}
    assert assign_partitions(["a", "b", "c", "d"], parts, all_three, set(all_three)) == {}
    two = members(("n1", "b"), ("n2", "c"))
    assert sorted(assign_partitions(["a", "b", "c", "d"], parts, two, set()).values()) == ["n1", "n2"]


def test_a_partition_moves_to_the_controller_of_its_zone_only_once_that_has_settled() -> None:
    parts = {"a": PartitionRecord("n1", 4)}
    both = members(("n0", "a"), ("n1", "b"))
    assert assign_partitions(["a"], parts, both, set()) == {}
    assert assign_partitions(["a"], parts, both, {"n0"}) == {"a": "n0"}


def test_a_partition_is_reassigned_if_its_owner_receives_no_heartbeats_of_the_zone() -> None:
    parts = {"a": PartitionRecord("n0", 4)}
    both = members(("n0", "a"), ("n1", "b"))
    both["n0"].isolated_zones = ["a"]
    assert assign_partitions(["a"], parts, both, {"n0", "n1"}) == {"a": "n1"}
    assert assign_partitions(["a"], {"a": PartitionRecord("n1", 5)}, both, {"n0", "n1"}) == {}
    both["n1"].isolated_zones = ["a"]
    assert assign_partitions(["a"], {"a": PartitionRecord("n0", 4)}, both, {"n0", "n1"}) == {}


def _reachability() -> StoreReachability:
    return StoreReachability(["p", "q"], cancel_s=30.0, lease_s=10.0)


def _pong(node: str, reaches_store: bool = False, age_s: float = 60.0, up_s: float = 500.0) -> peer_messages.Pong:
    return peer_messages.Pong(node, "x", reaches_store, [f"job-{node}"], [("a", node, 9)], age_s, up_s)


def test_an_attestation_expires_before_a_cancellation_could_be_missed() -> None:
    reachability = _reachability()
    assert reachability.may_answer(100.0, 110.0)
    assert not reachability.may_answer(100.0, 120.0)
    reachability.on_pong("p", 119.0, 119.1, _pong("p"), 100.0)
    assert not reachability.may_answer(100.0, 120.0)  # q may have confirmed a cancellation
    reachability.on_pong("q", 118.0, 118.1, _pong("q"), 100.0)
    assert reachability.freshness_bound(100.0) == 118.0
    # Peers that cannot reach the state service pass on cancellations, too.
    assert reachability.reported_cancellations == {"job-p": 119.1, "job-q": 118.1}
    assert reachability.reported_owners == {"a": ReportedOwner("p", 9)}
    # A read of the state service covers only cancellations reported before it.
    reachability.discard_synced_cancellations(118.5)
    assert reachability.reported_cancellations == {"job-p": 119.1}


def test_a_pong_of_one_peer_that_reaches_the_state_service_is_a_sufficient_attestation() -> None:
    reachability = _reachability()
    reachability.on_pong("q", 119.0, 119.1, _pong("q", reaches_store=True, age_s=0.1), 100.0)
    assert reachability.freshness_bound(100.0) == 119.0


def test_a_pong_attests_freshness_as_of_the_age_of_the_peers_replica() -> None:
    reachability = _reachability()
    reachability.on_pong("q", 119.0, 119.1, _pong("q", age_s=5.0), 100.0)
    assert 113.9 < reachability.freshness_bound(100.0) <= 114.0
    assert reachability.freshness_bound(116.0) == 116.0


def test_a_peer_that_started_after_the_last_attestation_without_reading_the_state_service_cannot_attest() -> None:
    # The peer's process started after, at about, or before the last attestation at 100.
    for up_s, expected_bound in ((18.0, 100.0), (19.0, 100.0), (20.0, 119.0)):
        reachability = _reachability()
        reachability.on_pong("p", 119.0, 119.05, _pong("p"), 100.0)
        reachability.on_pong("q", 119.0, 119.05, _pong("q", age_s=-1.0, up_s=up_s), 100.0)
        assert reachability.freshness_bound(100.0) == expected_bound


def test_an_outage_of_the_state_service_is_distinguished_from_a_partitioned_controller() -> None:
    reachability = _reachability()
    assert not reachability.outage(100.0)
    reachability.on_pong("p", 100.0, 100.1, _pong("p"), 60.0)
    assert reachability.outage(101.0)
    assert reachability.peer_responds("p", 101.0, "x")
    assert not reachability.peer_responds("p", 101.0, "y")  # the answering process has another incarnation
    assert not reachability.peer_responds("q", 101.0)
    reachability.on_pong("q", 101.0, 101.1, _pong("q", reaches_store=True), 60.0)
    assert not reachability.outage(102.0)
    assert not reachability.outage(120.0)  # no peer has responded recently


def test_a_pong_of_an_earlier_version_without_age_and_uptime_is_no_attestation() -> None:
    reachability = _reachability()
    for peer in ("p", "q"):
        old = peer_messages.decode(msgspec.msgpack.encode(["pong", peer, "x", False, [], []]))
        assert isinstance(old, peer_messages.Pong)
        reachability.on_pong(peer, 119.0, 119.1, old, 100.0)
    assert reachability.freshness_bound(100.0) == 100.0
    new = peer_messages.decode(
        msgspec.msgpack.encode(["pong", "p", "x", True, ["job-1"], [], 0.0, 1.0, "more to come"])
    )
    assert isinstance(new, peer_messages.Pong)
    reachability.on_pong("p", 130.0, 130.1, new, 100.0)
    assert reachability.freshness_bound(100.0) == 130.0


@given(st.floats(0.5, 200), st.integers(1, 24), st.sampled_from(list(Urgency)))
def test_the_bucket_always_gets_to_everyone(rate: float, amount: int, urgency: Urgency) -> None:
    """A delayed caller is served eventually, whatever the rounding, and the rate is not exceeded."""
    bucket, now, served = TokenBucket(rate, rate), 1.0, 0
    for _ in range(400):
        wait = bucket.delay(now, amount, urgency)
        if wait == 0.0:
            served += amount
            if served > 3 * amount:
                break
        now += wait
    assert served > 3 * amount
    assert served <= (now - 1.0) * rate + 2 * rate + 2 * amount + 1
