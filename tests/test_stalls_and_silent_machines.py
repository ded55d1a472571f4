"""Silent machines: silence during a controller's own stall, or of an unreachable zone, must not release machines.

Also checks that a single controller has enough sockets for the heartbeats of every worker.
"""

from __future__ import annotations

import pytest

from spurarch.coordination.controller import SOCKETS_RESERVED
from spurarch.coordination.partition.command_sender import direct_connections
from spurarch.coordination.partition.machine import MachineState
from spurarch.coordination.runtime.stall_detector import STALL_S, StallDetector
from spurarch.coordination.scaling.silent_machines import (
    SilenceLimits,
    SilenceObservation,
    is_mostly_silent,
    silent_machines,
)
from spurarch.settings import Tuning, Workers
from tests.test_scale import Fleet

WORKERS = Workers(1.0, 10.0, 30.0)


def test_after_a_stall_only_attestations_requested_since_then_are_valid() -> None:
    stall_detector = StallDetector()
    assert stall_detector.confirmed_since_stall(100.0, 99.5)
    assert stall_detector.confirmed_since_stall(100.0 + STALL_S, 99.5)
    stall_end = 100.0 + 2 * STALL_S + 20.0
    assert not stall_detector.confirmed_since_stall(stall_end, 101.0)  # the first call after the gap detects the stall
    assert not stall_detector.confirmed_since_stall(stall_end + 0.1, stall_end - 0.1)
    assert stall_detector.confirmed_since_stall(stall_end + 0.2, stall_end + 0.1)


def test_silence_is_counted_from_the_end_of_a_stall() -> None:
    """Otherwise all machines count as silent: the partition is handed over, or machines with tasks are released."""
    fleet = Fleet(10)
    stall_end = 60.0  # 58 s after the machines' last heartbeats

    def silence_findings(now: float, resumed_at: float) -> int:
        observation = SilenceObservation(fleet.partition, WORKERS, now, resumed_at)
        mostly_silent = is_mostly_silent(observation)
        limits = SilenceLimits.of(Tuning(), WORKERS, 15.0)
        return mostly_silent + len(silent_machines(observation, limits, mostly_silent))

    assert silence_findings(stall_end, 0.0)
    assert not silence_findings(stall_end, stall_end)
    assert not silence_findings(stall_end + 1.0, stall_end)
    assert silence_findings(stall_end + 10.0, stall_end)


def test_an_owner_whose_partition_may_have_another_owner_sends_no_commands() -> None:
    fleet = Fleet(1)
    machine = fleet.partition.machines["vm-0"]
    fleet.partition.stop_job("job-0", 0.0)
    heartbeat = fleet.build_heartbeat(0, 3, fleet.partition.state.fencing_token(machine))
    assert fleet.partition.on_heartbeat(heartbeat, 2.0, may_command=False) == []
    heartbeat = fleet.build_heartbeat(0, 4, fleet.partition.state.fencing_token(machine))
    assert fleet.partition.on_heartbeat(heartbeat, 3.0)


@pytest.mark.parametrize(("sockets", "machines"), [(800, 60), (1339, 906), (2049, 933)])
def test_one_controller_has_sockets_for_every_worker(sockets: int, machines: int) -> None:
    """An earlier bound planned 905 of 1339 sockets for heartbeats, and up to 668 more for connections to workers."""
    heartbeat_sockets = sockets - direct_connections(sockets) - SOCKETS_RESERVED
    assert heartbeat_sockets >= machines + 100  # 100 for users' connections
    assert heartbeat_sockets + direct_connections(sockets) + SOCKETS_RESERVED <= sockets


def test_the_first_silent_machines_of_an_unreachable_zone_are_not_released() -> None:
    """In a network partition 37 healthy machines were released before most of the zone's machines counted as silent."""
    fleet = Fleet(10)
    workers = Workers(3.0, 18.0, 48.0)
    for i, machine in enumerate(fleet.partition.machines.values()):
        machine.last_heartbeat_at = 100.0 - 0.3 * i  # the zone becomes unreachable at 100

    def released_count(now: float) -> int:
        observation = SilenceObservation(fleet.partition, workers, now)
        limits = SilenceLimits.of(Tuning(), workers, 26.0)
        return len(silent_machines(observation, limits, is_mostly_silent(observation)))

    assert not any(released_count(100.0 + n / 4) for n in range(60))
    fleet.partition.machines["vm-9"].last_heartbeat_at = 90.0
    for machine in list(fleet.partition.machines.values())[:9]:
        machine.last_heartbeat_at = 100.0
    assert released_count(101.0) == 1  # a single machine is silent


def test_one_heartbeat_from_an_unreachable_zone_does_not_make_the_zone_reachable() -> None:
    """A new owner that had received one heartbeat from an unreachable zone counted none of its machines as silent.

    The partition and the leader moved hundreds of replicas back and forth, at four changes each, until no array could
    start.
    """
    fleet = Fleet(10)
    for i, machine in enumerate(fleet.partition.machines.values()):
        if i:
            machine.state, machine.last_heartbeat_at = MachineState.UNCONFIRMED, None
    # After 6 s the other machines may not have found the new owner yet.
    assert not is_mostly_silent(SilenceObservation(fleet.partition, WORKERS, 6.0))
    assert is_mostly_silent(SilenceObservation(fleet.partition, WORKERS, 30.0))
