"""What becomes of machines that were to be returned, and of those that may hold cancelled tasks."""

from __future__ import annotations

import time
from types import SimpleNamespace
from typing import Any

import curio
import pytest

from spurarch.coordination.partition.machine import MachineState
from spurarch.coordination.scaling.overdue_machines import overdue_machines
from spurarch.coordination.scaling.scale_in import ScaleIn, ScaleInContext
from spurarch.protocol import wire
from spurarch.settings import Workers
from spurarch.storage import records
from spurarch.storage.records import MachineRecord
from tests.test_scale import Fleet

WORKERS = Workers(1.0, 10.0, 30.0)


def _returns(**parts: Any) -> ScaleIn:
    unused: Any = None
    given = {"can": SimpleNamespace(reachability=None), "owned": {}, "replica": None, "cloud": None, **parts}
    deployment: Any = SimpleNamespace(workers=WORKERS, state=SimpleNamespace(transaction_changes=24))
    fixed = (given["replica"], unused, unused, given["cloud"], given["can"])
    return ScaleIn(ScaleInContext(*fixed, unused, deployment, unused), given["owned"])


def test_a_machine_left_out_of_a_release_is_of_use_again() -> None:
    """A task is recorded onto one of two idle machines while both are closed.

    It stayed marked as being returned for ever on the former code, so nobody used it, and nobody returned it.
    """
    fleet = Fleet(3)
    machines = [fleet.partition.machines["vm-0"], fleet.partition.machines["vm-1"]]
    attempts = [dict(machine.attempts) for machine in machines]
    released: list[str] = []
    for machine in machines:
        machine.attempts.clear()
        machine.releasing = True

    async def sync() -> bool:
        return True

    async def close(part: object, idle: object) -> bool:
        machines[1].attempts.update(attempts[1])
        return True

    async def release(names: list[str], still: object) -> None:
        released.extend(names)

    async def ring() -> None:
        pass

    can: Any = SimpleNamespace(owns=lambda part: True, reachability=None)
    replica, cloud = SimpleNamespace(sync=sync), SimpleNamespace(release=release)
    returns = _returns(can=can, replica=replica, cloud=cloud)
    returns._releaser._cordon = close  # type: ignore[method-assign, assignment]
    owned: Any = SimpleNamespace(partition=fleet.partition, wakeup=SimpleNamespace(set=ring))
    curio.run(returns._releaser.release_owned, owned, machines)
    assert released == ["vm-0"]
    assert [machine.state for machine in machines] == [MachineState.RELEASED, MachineState.ACTIVE]
    assert not machines[1].releasing
    assert machines[1].release_after > time.monotonic()


def _stop_cancelled(fleet: Fleet, now: float) -> None:
    fleet.time_since_cancellation = lambda job: now - 20.0 if job in ("job-0", "job-1") else None
    for job in ("job-0", "job-1", "job-2"):  # the last is stopped for another reason
        fleet.partition.stop_job(job, now)


@pytest.mark.parametrize(("cut", "first"), [(False, 32.0), (True, 44.0)])
def test_machines_whose_cancelled_tasks_do_not_leave_are_overdue(cut: bool, first: float) -> None:
    """Long before the 30 s are over, counted from the cancellation and not from when we heard of it."""
    fleet = Fleet(4)
    _stop_cancelled(fleet, 25.0)  # cancelled at 20
    assert not overdue_machines(fleet.partition, WORKERS, first - 0.1, cut)
    assert [m.name for m in overdue_machines(fleet.partition, WORKERS, first + 0.1, cut)] == ["vm-0", "vm-1"]
    assert not overdue_machines(fleet.partition, WORKERS, first + 0.1, cut, resumed_at=first - 3.0)  # its own silence


def test_a_machine_that_fell_silent_with_a_cancelled_task_stays_overdue() -> None:
    """Its lease has run out, which frees its tasks; but a machine that hangs has not ended them."""
    fleet = Fleet(3)
    _stop_cancelled(fleet, 25.0)
    fleet.heartbeat(2, 9, fleet.partition.state.fencing_token(fleet.partition.machines["vm-2"]))
    fleet.partition.tick(26.0)
    assert fleet.partition.machines["vm-0"].state is MachineState.LEASE_EXPIRED
    assert [m.name for m in overdue_machines(fleet.partition, WORKERS, 40.0, False)] == ["vm-0", "vm-1"]
    token = fleet.partition.state.fencing_token(fleet.partition.machines["vm-0"])
    heartbeat = wire.Heartbeat("vm-0", "10.1.0.1:9000", "big", "a", 2, 30, token, [])
    assert fleet.partition.on_heartbeat(heartbeat, 41.0) is not None  # it goes on in its next session
    assert [m.name for m in overdue_machines(fleet.partition, WORKERS, 42.0, False)] == ["vm-1"]


def test_a_machine_put_on_record_after_its_release_is_gone_at_once() -> None:
    fleet = Fleet(2)
    key = records.machine_key("a", "vm-9")
    fleet.partition.on_released("vm-9")
    fleet.put(key, MachineRecord("big", False, "10.1.0.9:9000"))
    fleet.apply_changes([key])
    assert fleet.partition.machines["vm-9"].state is MachineState.RELEASED


def test_before_the_records_are_read_only_cancelled_tasks_are_stopped() -> None:
    fleet = Fleet(3)
    fleet.partition.state.records_read = False
    fleet.time_since_cancellation = lambda job: 1.0 if job == "job-0" else None
    answers = [
        fleet.heartbeat(i, 5, fleet.partition.state.fencing_token(fleet.partition.machines[f"vm-{i}"])) for i in (0, 1)
    ]
    assert answers == [[wire.Command(wire.STOP, f"job-0/{n}", 1, 0.0) for n in range(4)], []]


def test_the_next_owner_is_told_of_machines_that_are_gone_though_on_record() -> None:
    fleet = Fleet(3)
    returns = _returns(
        replica=SimpleNamespace(state=fleet.state), owned={"a": SimpleNamespace(partition=fleet.partition)}
    )
    returns._releaser.remember_released({"vm-1": "a", "vm-7": "a"})
    told = returns.released_unrecorded()
    assert told == ["vm-1"]  # the record of vm-7 is gone
    returns.on_peer_load("n1", {}, told)
    assert fleet.partition.machines["vm-1"].state is MachineState.RELEASED
    assert fleet.partition.machines["vm-0"].state is MachineState.ACTIVE
    assert len(fleet.partition.terminal_attempts) == 1  # its tasks may start elsewhere
