"""Selects machines of a partition for release because their heartbeats are missing. No I/O."""

from __future__ import annotations

from msgspec import Struct

from spurarch.coordination.partition.machine import Machine, MachineState
from spurarch.coordination.partition.partition import Partition
from spurarch.settings import Tuning, Workers

# Limits in seconds (`_S`), heartbeat intervals (`_HEARTBEATS`) and lease durations (`_LEASES`).
MIN_MOSTLY_SILENT_S = 2.5
MOSTLY_SILENT_HEARTBEATS = 2.2
LATE_HEARTBEATS = 1.6
SUSPECT_LATE_SHARE = 1 / 3  # of the active machines
FIND_OWNER_S = 5.5  # within which a worker finds the new owner of its partition
UNCONFIRMED_LEASES = 1.5
EXPIRED_LEASES = 3.0
WITHOUT_TASKS_LEASES = 2
WITH_TASKS_HEARTBEATS = 2.5


class SilenceObservation(Struct, frozen=True):
    """State of a partition at one time, for evaluating the silence of its machines.

    Times are seconds of the monotonic clock. Silence is measured from `resumed_at` at the earliest, since this process
    was stalled before and received no heartbeats.
    """

    partition: Partition
    workers: Workers
    now: float
    resumed_at: float = 0.0

    def silence_s(self, machine: Machine) -> float:
        """Seconds since the machine's last heartbeat, or since it was first seen if there is none."""
        return self.now - max(machine.last_heartbeat_at or machine.first_seen, self.resumed_at)

    def unconfirmed_s(self, machine: Machine) -> float:
        """Seconds that an unconfirmed machine has had to send this owner a heartbeat."""
        return self.now - max(self.partition.claimed_at, machine.first_seen, self.resumed_at)


class SilenceLimits(Struct, frozen=True):
    """Seconds of silence after which a machine is released, by its state."""

    unconfirmed_s: float
    lease_expired_s: float
    with_tasks_s: float
    without_tasks_s: float

    @staticmethod
    def of(tuning: Tuning, workers: Workers, previous_owner_s: float) -> SilenceLimits:
        """Computes the limits; `previous_owner_s` is how long a previous owner may go on responding to heartbeats."""
        return SilenceLimits(
            # A previous owner that reaches only its workers may go on extending their leases, so an elapsed lease
            # duration proves nothing and a release would end healthy tasks. It stops responding after
            # `previous_owner_s` at the latest; its workers then find this owner.
            unconfirmed_s=max(workers.lease_s * UNCONFIRMED_LEASES, previous_owner_s + FIND_OWNER_S),
            # Not urgent: once the lease has expired, the tasks can be started elsewhere, and if an unreachable zone
            # becomes reachable again, its machines can be used again.
            lease_expired_s=EXPIRED_LEASES * workers.lease_s,
            with_tasks_s=max(tuning.silent_release_s, WITH_TASKS_HEARTBEATS * workers.heartbeat_interval_s),
            without_tasks_s=workers.lease_s * WITHOUT_TASKS_LEASES,
        )


def is_mostly_silent(observation: SilenceObservation) -> bool:
    """Whether more than half of the machines, and at least two, are silent.

    This controller is then more likely to be partitioned from the workers than the machines are to have failed.
    Releasing them would discard a zone of healthy machines, which may already send heartbeats to another controller.

    Silent means here: without a heartbeat for MOSTLY_SILENT_HEARTBEATS, and for at least MIN_MOSTLY_SILENT_S. The
    limits after which single machines are released are those of `SilenceLimits`.
    """
    workers = observation.workers
    limit_s = max(MIN_MOSTLY_SILENT_S, MOSTLY_SILENT_HEARTBEATS * workers.heartbeat_interval_s)
    silent = total = 0
    for machine in observation.partition.machines.values():
        if machine.releasing or machine.state is MachineState.RELEASED:
            continue
        total += 1
        if machine.state is MachineState.UNCONFIRMED:
            # Workers take up to FIND_OWNER_S to find a new owner. Unconfirmed machines are counted with the others:
            # otherwise a single machine that sent one heartbeat would represent a zone that sends none.
            silent += observation.unconfirmed_s(machine) > limit_s + FIND_OWNER_S
        else:
            silent += observation.silence_s(machine) > limit_s
    return silent >= 2 and 2 * silent > total


def silent_machines(observation: SilenceObservation, limits: SilenceLimits, mostly_silent: bool) -> list[Machine]:
    """Returns machines to release because they are silent or receive no heartbeat responses.

    A machine's release is the fastest proof that it runs no task. While this controller is possibly partitioned from
    the workers, active machines are not returned, since their release could end healthy tasks. The lease of a machine
    in LEASE_EXPIRED has ended, and an UNCONFIRMED one has had the time to find this owner.
    """
    found = [machine for machine in observation.partition.machines.values() if _is_silent(machine, observation, limits)]
    if mostly_silent or _may_be_isolated(observation):
        return [machine for machine in found if machine.state is not MachineState.ACTIVE]
    return found


def _may_be_isolated(observation: SilenceObservation) -> bool:
    """Whether so many heartbeats are late that this controller may be partitioned from the workers.

    These are heartbeats of at least two machines, and of more than SUSPECT_LATE_SHARE of the active machines.

    When a controller loses contact with its workers, the first machines exceed the limit for a single machine before
    half of them exceed the limit of `is_mostly_silent`. Without this check, a quarter of a healthy zone was released in
    the second between.
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
