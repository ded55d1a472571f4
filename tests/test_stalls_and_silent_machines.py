"""A controller that stood still concludes nothing from others' silence, which was its own; and sockets at full size."""

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


def test_after_a_stall_nothing_counts_before_an_attestation_that_was_asked_for_after_it() -> None:
    stall_detector = StallDetector()
    assert stall_detector.confirmed_since_stall(100.0, 99.5)
    assert stall_detector.confirmed_since_stall(100.0 + STALL_S, 99.5)
    woke = 100.0 + 2 * STALL_S + 20.0
    assert not stall_detector.confirmed_since_stall(woke, 101.0)  # whoever asks first after the gap finds it
    assert not stall_detector.confirmed_since_stall(woke + 0.1, woke - 0.1)
    assert stall_detector.confirmed_since_stall(woke + 0.2, woke + 0.1)


def test_silence_counts_from_waking() -> None:
    """The former code took all machines for silent, gave the part away as unfit, or returned those with tasks."""
    fleet = Fleet(10)
    woke = 60.0  # the machines were last heard 58 s before

    def found(now: float, resumed_at: float) -> int:
        observation = SilenceObservation(fleet.partition, WORKERS, now, resumed_at)
        mostly_silent = is_mostly_silent(observation)
        limits = SilenceLimits.of(Tuning(), WORKERS, 15.0)
        return mostly_silent + len(silent_machines(observation, limits, mostly_silent))

    assert found(woke, 0.0)
    assert not found(woke, woke)
    assert not found(woke + 1.0, woke)
    assert found(woke + 10.0, woke)


def test_an_owner_that_may_have_been_deposed_gives_no_commands() -> None:
    fleet = Fleet(1)
    machine = fleet.partition.machines["vm-0"]
    fleet.partition.stop_job("job-0", 0.0)
    heartbeat = fleet.build_heartbeat(0, 3, fleet.partition.state.fencing_token(machine))
    assert fleet.partition.on_heartbeat(heartbeat, 2.0, commanding=False) == []
    heartbeat = fleet.build_heartbeat(0, 4, fleet.partition.state.fencing_token(machine))
    assert fleet.partition.on_heartbeat(heartbeat, 3.0)


@pytest.mark.parametrize(("sockets", "machines"), [(800, 60), (1339, 906), (2049, 933)])
def test_one_controller_has_sockets_for_every_worker(sockets: int, machines: int) -> None:
    """The former bound gave workers' reports 905 sockets of 1339, and its own connections to workers up to 668 more."""
    reports = sockets - direct_connections(sockets) - SOCKETS_RESERVED
    assert reports >= machines + 100  # users
    assert reports + direct_connections(sockets) + SOCKETS_RESERVED <= sockets


def test_the_first_silent_machines_of_a_cut_are_not_released() -> None:
    """37 healthy machines were, on the apart day, before most of the partition had been silent for long enough."""
    fleet = Fleet(10)
    workers = Workers(3.0, 18.0, 48.0)
    for i, machine in enumerate(fleet.partition.machines.values()):
        machine.last_heartbeat_at = 100.0 - 0.3 * i  # the cut begins at 100

    def returned(now: float) -> int:
        observation = SilenceObservation(fleet.partition, workers, now)
        limits = SilenceLimits.of(Tuning(), workers, 26.0)
        return len(silent_machines(observation, limits, is_mostly_silent(observation)))

    assert not any(returned(100.0 + n / 4) for n in range(60))
    fleet.partition.machines["vm-9"].last_heartbeat_at = 90.0
    for machine in list(fleet.partition.machines.values())[:9]:
        machine.last_heartbeat_at = 100.0
    assert returned(101.0) == 1  # one alone is silent


def test_a_machine_heard_once_does_not_stand_for_a_zone_that_nobody_hears() -> None:
    """A new owner that had heard one machine of a zone that is cut off took none of the others for silent.

    Its part and the leader passed hundreds of replicas to and fro, at four changes each, until no array could start.
    """
    fleet = Fleet(10)
    for i, machine in enumerate(fleet.partition.machines.values()):
        if i:
            machine.state, machine.last_heartbeat_at = MachineState.UNCONFIRMED, None
    assert not is_mostly_silent(
        SilenceObservation(fleet.partition, WORKERS, 6.0)
    )  # the others may still be on their way to a new owner
    assert is_mostly_silent(SilenceObservation(fleet.partition, WORKERS, 30.0))
