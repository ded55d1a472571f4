"""Release of machines that are idle, and of those that may still run cancelled tasks."""

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


def _scale_in(**overrides: Any) -> ScaleIn:
    unused: Any = None
    context = {"can": SimpleNamespace(reachability=None), "owned": {}, "replica": None, "cloud": None, **overrides}
    deployment: Any = SimpleNamespace(workers=WORKERS, state=SimpleNamespace(transaction_changes=24))
    fixed = (context["replica"], unused, unused, context["cloud"], context["can"])
    return ScaleIn(ScaleInContext(*fixed, unused, deployment, unused), context["owned"])


def test_a_machine_excluded_from_a_release_becomes_active_again() -> None:
    """A task is assigned to one of two idle machines while both are being cordoned.

    If that machine stays marked as being released, it is neither used nor ever released.
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

    async def cordon(partition: object, idle: object) -> bool:
        machines[1].attempts.update(attempts[1])
        return True

    async def release(names: list[str], may_release: object) -> None:
        released.extend(names)

    async def wake() -> None:
        pass

    permissions: Any = SimpleNamespace(owns=lambda partition: True, reachability=None)
    replica, cloud = SimpleNamespace(sync=sync), SimpleNamespace(release=release)
    scale_in = _scale_in(can=permissions, replica=replica, cloud=cloud)
    scale_in._releaser._cordon = cordon  # type: ignore[method-assign, assignment]
    owned: Any = SimpleNamespace(partition=fleet.partition, wakeup=SimpleNamespace(set=wake))
    curio.run(scale_in._releaser.release_owned, owned, machines)
    assert released == ["vm-0"]
    assert [machine.state for machine in machines] == [MachineState.RELEASED, MachineState.ACTIVE]
    assert not machines[1].releasing
    assert machines[1].release_after > time.monotonic()


def _stop_cancelled(fleet: Fleet, now: float) -> None:
    fleet.time_since_cancellation = lambda job: now - 20.0 if job in ("job-0", "job-1") else None
    for job in ("job-0", "job-1", "job-2"):  # job-2 is stopped for another reason than cancellation
        fleet.partition.stop_job(job, now)


@pytest.mark.parametrize(("cut", "first"), [(False, 32.0), (True, 44.0)])
def test_machines_whose_cancelled_tasks_do_not_stop_are_overdue(cut: bool, first: float) -> None:
    """Well before the limit of 30 s, counted from the cancellation and not from when this controller received it.

    The share of the limit is larger if most machines are silent (`cut`), since another owner may stop the tasks.
    """
    fleet = Fleet(4)
    _stop_cancelled(fleet, 25.0)  # cancelled at 20
    assert not overdue_machines(fleet.partition, WORKERS, first - 0.1, cut)
    assert [m.name for m in overdue_machines(fleet.partition, WORKERS, first + 0.1, cut)] == ["vm-0", "vm-1"]
    # Silence before the end of a stall of this controller itself does not count.
    assert not overdue_machines(fleet.partition, WORKERS, first + 0.1, cut, resumed_at=first - 3.0)


def test_a_silent_machine_with_a_cancelled_task_stays_overdue_after_its_lease_expired() -> None:
    """Its lease has expired, which frees its tasks for other machines; but a machine that hangs has not ended them."""
    fleet = Fleet(3)
    _stop_cancelled(fleet, 25.0)
    fleet.heartbeat(2, 9, fleet.partition.state.fencing_token(fleet.partition.machines["vm-2"]))
    fleet.partition.tick(26.0)
    assert fleet.partition.machines["vm-0"].state is MachineState.LEASE_EXPIRED
    assert [m.name for m in overdue_machines(fleet.partition, WORKERS, 40.0, False)] == ["vm-0", "vm-1"]
    token = fleet.partition.state.fencing_token(fleet.partition.machines["vm-0"])
    heartbeat = wire.Heartbeat("vm-0", "10.1.0.1:9000", "big", "a", 2, 30, token, [])
    assert fleet.partition.on_heartbeat(heartbeat, 41.0) is not None  # it continues with its next incarnation
    assert [m.name for m in overdue_machines(fleet.partition, WORKERS, 42.0, False)] == ["vm-1"]


def test_a_machine_recorded_after_its_release_counts_as_released_at_once() -> None:
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
    responses = [
        fleet.heartbeat(i, 5, fleet.partition.state.fencing_token(fleet.partition.machines[f"vm-{i}"])) for i in (0, 1)
    ]
    assert responses == [[wire.Command(wire.STOP, f"job-0/{n}", 1, 0.0) for n in range(4)], []]


def test_the_next_owner_receives_the_released_machines_that_are_still_on_record() -> None:
    fleet = Fleet(3)
    scale_in = _scale_in(
        replica=SimpleNamespace(state=fleet.state), owned={"a": SimpleNamespace(partition=fleet.partition)}
    )
    scale_in._releaser.add_released_machines({"vm-1": "a", "vm-7": "a"})
    released = scale_in.released_on_record()
    assert released == ["vm-1"]  # the record of vm-7 is gone
    scale_in.on_peer_load("n1", {}, released)
    assert fleet.partition.machines["vm-1"].state is MachineState.RELEASED
    assert fleet.partition.machines["vm-0"].state is MachineState.ACTIVE
    assert len(fleet.partition.terminal_attempts) == 1  # its tasks may start elsewhere
