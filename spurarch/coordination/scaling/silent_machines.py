"""Which machines of a partition have missed so many heartbeats that they are released. Decides only."""

from __future__ import annotations

from msgspec import Struct

from spurarch.coordination.partition.machine import Machine, MachineState
from spurarch.coordination.partition.partition import Partition
from spurarch.settings import Tuning, Workers

MOSTLY_SILENT_LEAST_S = 2.5
MOSTLY_SILENT_HEARTBEATS = 2.2
LATE_HEARTBEATS = 1.6
SUSPECT_LATE_SHARE = 1 / 3
FIND_OWNER_S = 5.5  # within which a worker finds the new owner of its partition
UNCONFIRMED_LEASES = 1.5
EXPIRED_LEASES = 3.0
EMPTY_LEASES = 2
SILENT_HEARTBEATS = 2.5


class SilenceObservation(Struct, frozen=True):
    """A partition as its owner sees it at one moment, in seconds of the monotonic clock.

    Silence counts from `resumed_at` at the earliest: before that this process itself was stalled.
    """

    partition: Partition
    workers: Workers
    now: float
    resumed_at: float = 0.0

    def silence_s(self, machine: Machine) -> float:
        """Seconds since the machine's last heartbeat, or since it was first seen."""
        return self.now - max(machine.last_heartbeat_at or machine.first_seen, self.resumed_at)

    def unconfirmed_s(self, machine: Machine) -> float:
        """Seconds that a machine without any heartbeat to this owner had to find it."""
        return self.now - max(self.partition.claimed_at, machine.first_seen, self.resumed_at)


class SilenceLimits(Struct, frozen=True):
    """Seconds of silence after which a machine is released, by its state."""

    unconfirmed_s: float
    lease_expired_s: float
    with_tasks_s: float
    without_tasks_s: float

    @staticmethod
    def of(tuning: Tuning, workers: Workers, previous_owner_s: float) -> SilenceLimits:
        """The limits by the settings; a previous owner may answer workers for `previous_owner_s` more seconds."""
        return SilenceLimits(
            # A previous owner that is cut off from all but its workers may keep them alive, so time proves nothing, and
            # their release would end healthy work. Such an owner stops in the end, and then its workers look for us.
            unconfirmed_s=max(workers.lease_s * UNCONFIRMED_LEASES, previous_owner_s + FIND_OWNER_S),
            # Its tasks are free already. A zone that was cut off comes back, and its machines with it.
            lease_expired_s=EXPIRED_LEASES * workers.lease_s,
            with_tasks_s=max(tuning.silent_release_s, SILENT_HEARTBEATS * workers.heartbeat_interval_s),
            without_tasks_s=workers.lease_s * EMPTY_LEASES,
        )


def is_mostly_silent(observation: SilenceObservation) -> bool:
    """Whether most machines fell silent at once: more likely this controller is cut off than that they are gone.

    Their release would throw away a zone of healthy machines that send heartbeats to another controller by now.
    """
    workers = observation.workers
    limit_s = max(MOSTLY_SILENT_LEAST_S, MOSTLY_SILENT_HEARTBEATS * workers.heartbeat_interval_s)
    silent = total = 0
    for machine in observation.partition.machines.values():
        if machine.releasing or machine.state is MachineState.RELEASED:
            continue
        total += 1
        if machine.state is MachineState.UNCONFIRMED:
            # Workers need a while to find a new owner. All count together: one machine that sent a heartbeat once must
            # not stand for a zone from which none has come since.
            silent += observation.unconfirmed_s(machine) > limit_s + FIND_OWNER_S
        else:
            silent += observation.silence_s(machine) > limit_s
    return silent >= 2 and 2 * silent > total


def silent_machines(observation: SilenceObservation, limits: SilenceLimits, mostly_silent: bool) -> list[Machine]:
    """Machines that are silent or whose responses are lost: their release is the fastest proof that no task runs there.

    While this controller may be cut off itself, only machines without a valid lease are released: those are no loss in
    any case.
    """
    found = [machine for machine in observation.partition.machines.values() if _is_silent(machine, observation, limits)]
    if mostly_silent or _may_be_cut_off(observation):
        return [machine for machine in found if machine.state is not MachineState.ACTIVE]
    return found


def _may_be_cut_off(observation: SilenceObservation) -> bool:
    """Whether so many heartbeats are late that this controller may be cut off, before that is certain.

    When a controller is cut off, the first machines pass the limit for a single machine before half of them pass the
    limit for most: a quarter of a healthy zone was once released in that second.
    """
    limit_s = LATE_HEARTBEATS * observation.workers.heartbeat_interval_s
    active = [
        machine
        for machine in observation.partition.machines.values()
        if machine.state is MachineState.ACTIVE and not machine.releasing
    ]
    late = sum(observation.silence_s(machine) > limit_s for machine in active)
    return late >= 2 and late > SUSPECT_LATE_SHARE * len(active)


def _is_silent(machine: Machine, observation: SilenceObservation, limits: SilenceLimits) -> bool:
    if machine.state is MachineState.RELEASED or machine.releasing:
        return False
    if machine.state is MachineState.UNCONFIRMED:
        return observation.unconfirmed_s(machine) > limits.unconfirmed_s
    if machine.state is MachineState.LEASE_EXPIRED:
        return observation.silence_s(machine) > limits.lease_expired_s
    limit_s = limits.with_tasks_s if machine.attempts else limits.without_tasks_s
    if machine.responses_lost:
        now = observation.now
        return now - max(machine.token_offered_at or now, observation.resumed_at) > limit_s
    return observation.silence_s(machine) > limit_s
