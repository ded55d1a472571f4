"""What happens in a scenario: the actions of its users, and the faults.

Actions; `for=` and `by=` are in seconds, NODE is a controller, HOST is a controller, a machine, `store` or `cloud`:

    submit JOB [NAME=VALUE...] [node=NODE]   a user submits a job until it is accepted or refused, then polls its state;
                                             names: team, kind (batch, daemon, gang), priority, tasks, cpus, memory,
                                             image, fetch (GB, at 1 GB/s), type, zone, estimate, checkpoint, save, run
                                             (seconds, of the tasks in turn), and the flags together, spread, spot,
                                             faulty; a flag without a value is ignored: `spread=1`, not `spread`
    cancel JOB [node=NODE]                   a user requests a cancellation until it is confirmed
    cancel-at-end for=                       jobs whose last task ends during this time are cancelled at that moment
    again JOB STATUS [node=NODE]             a user repeats a submission; STATUS, 503 or 504 is expected
    raw METHOD TARGET STATUS [BODY]          a user sends one request; STATUS is expected
    kill NODE [for=]                         the controller's process is killed, and restarted after `for` if given
    kill-all [for=], kill-leader [for=]      the same for all controllers, or for the leader
    upgrade NODE [for=]                      killed, and restarted with the present version
    downgrade NODE [for=]                    killed, and restarted with the version before gangs
    cut A B for= [mode=]                     two hosts can't reach each other; `*` is any host; modes: see net.LinkFault
    cut-zone ZONE for= [mode=]               cut from the machines and controllers of a zone to all other controllers
    alone NODE for=                          cut from a controller to the state service and all other controllers;
                                             it still reaches its workers and users
    mute MACHINE for=                        requests of the machine, also heartbeats, are dropped; direct commands and
                                             their responses still arrive
    deafen MACHINE for=                      responses and direct commands to the machine are dropped; its heartbeats
                                             still arrive
    slow-links for= by=                      every link has this latency
    slow-responses HOST for= by=             responses to requests of the host arrive `by` seconds later, in order
    copies MACHINE [since=N] [gap=] [node=NODE]   copies of its heartbeats, from index N on, arrive in order, `gap`
                                             seconds apart, at their original receivers or at NODE
    late-reports for= share=                 of this share of heartbeats, a copy arrives from 2 s to 2 s and 1.5 leases
                                             later
    repeat-commands for= share= within=      of this share of direct commands that a machine has answered, a copy
                                             arrives at most `within` seconds later
    die MACHINE                              the machine fails for good, with all its tasks
    hang MACHINE for=                        the machine neither executes nor responds, and then resumes
    reboot MACHINE                           the worker restarts at once in a new incarnation, without tasks
    sick MACHINE                             every task on the machine fails from now on
    notice MACHINE for=                      the worker announces that its spot machine ends after that time
    never-up N                               the next N machines that are requested never become ready
    outage for=                              the state service refuses all requests; its leases are extended
    refuse HOST for=                         the state service refuses all requests of one host
    slow-store for= by=                      the state service delays all requests except watches
    slow-writes PREFIX for= by=              transactions that write a key with this prefix are delayed, and carried out
                                             even if the sender times out
    slow-pages HOST by=                      the state service delays a host's reads of lists of keys, to the end
    too-old HOST for=                        a host's watches get no response for that time, and then status 410
    no-watch HOST for=                       a host's watches get status 429
    late-writes for= share=                  this share of transactions gets no response and is carried out 2 to 12 s
                                             later, after newer ones
    lose-answers for=                        the state service carries out requests, but its responses are lost
    repeat-all                               all transactions so far are carried out again; it is a problem if the
                                             conditions of one hold, unless it writes nothing but machine records
    lower-limits                             the limits of `next-limits` take effect
    sure [not] CONDITION ...                 it is a problem if the condition does not hold now, see scenario_checks.py
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import curio

from tests.sim import scenario_checks
from tests.sim.net import LinkFault

if TYPE_CHECKING:
    from tests.sim.scenario import ScenarioRun

Options = dict[str, str]
ActionFunction = Callable[["ScenarioRun", list[str], Options], Awaitable[None]]

BY_USERS = ("submit", "cancel", "raw")  # the other actions count as faults


def _end(run: ScenarioRun, opts: Options) -> float:
    """Returns when a fault that begins now ends."""
    return run.clock.now + float(opts["for"])


# Users


async def _submit(run: ScenarioRun, args: list[str], opts: Options) -> None:
    await curio.spawn(run.run_user, args[0], opts, daemon=True)


async def _cancel(run: ScenarioRun, args: list[str], opts: Options) -> None:
    await curio.spawn(run.cancel, args[0], opts.get("node"), daemon=True)


async def _cancel_at_end(run: ScenarioRun, _args: list[str], opts: Options) -> None:
    await curio.spawn(run.cancel_ended_jobs, _end(run, opts), daemon=True)


async def _again(run: ScenarioRun, args: list[str], opts: Options) -> None:
    await curio.spawn(run.repeat_submission, args[0], int(args[1]), opts.get("node"), daemon=True)


async def _raw(run: ScenarioRun, args: list[str], _opts: Options) -> None:
    await curio.spawn(run.send_raw_request, args, daemon=True)


async def _sure(run: ScenarioRun, args: list[str], _opts: Options) -> None:
    if not scenario_checks.condition_holds(run, args):
        run.problems.append(f"the meeting did not take place: {' '.join(args)} at {run.clock.now - 1000:.2f}")


# Controllers


async def _kill(run: ScenarioRun, args: list[str], opts: Options) -> None:
    await run.kill(args[0])
    if "for" in opts:
        await curio.spawn(run.restart, args[0], float(opts["for"]), daemon=True)


async def _upgrade(run: ScenarioRun, args: list[str], opts: Options) -> None:
    run.earlier_version_nodes.discard(args[0])
    await _kill(run, args, opts)


async def _downgrade(run: ScenarioRun, args: list[str], opts: Options) -> None:
    run.earlier_version_nodes.add(args[0])
    await _kill(run, args, opts)


async def _kill_all(run: ScenarioRun, args: list[str], opts: Options) -> None:
    for node, _ in run.nodes:
        await _kill(run, [node, *args], opts)


async def _kill_leader(run: ScenarioRun, args: list[str], opts: Options) -> None:
    leader = next((node for node in run.running if run.controllers[node].membership.leading), None)
    if leader is None:
        run.problems.append(f"nobody leads at {run.clock.now - 1000:.2f}")
        return
    run.leaders_ended += 1
    await _kill(run, [leader, *args], opts)


# Network


async def _cut(run: ScenarioRun, args: list[str], opts: Options) -> None:
    run.links.link_faults.append(LinkFault(args[0], args[1], _end(run, opts), opts.get("mode", "drop")))


async def _cut_zone(run: ScenarioRun, args: list[str], opts: Options) -> None:
    inside = {f"n{i}" for i in range(run.count) if run.zones[i % len(run.zones)] == args[0]}
    outside = [node for node, _ in run.nodes if node not in inside]
    hosts = [worker.name for worker in run.world.workers.values() if worker.zone == args[0]] + sorted(inside)
    run.links.link_faults += [
        LinkFault(host, node, _end(run, opts), opts.get("mode", "drop")) for host in hosts for node in outside
    ]


async def _alone(run: ScenarioRun, args: list[str], opts: Options) -> None:
    for host in ["store", *(node for node, _ in run.nodes if node != args[0])]:
        run.links.link_faults.append(LinkFault(args[0], host, _end(run, opts), "drop"))


async def _mute(run: ScenarioRun, args: list[str], opts: Options) -> None:
    run.links.link_faults.append(LinkFault(args[0], "*", _end(run, opts), "mute"))


async def _deafen(run: ScenarioRun, args: list[str], opts: Options) -> None:
    run.links.link_faults.append(LinkFault(args[0], "*", _end(run, opts), "deaf"))


async def _slow_links(run: ScenarioRun, _args: list[str], opts: Options) -> None:
    run.links.slow_until, run.links.slow_s = _end(run, opts), float(opts["by"])


async def _slow_responses(run: ScenarioRun, args: list[str], opts: Options) -> None:
    run.links.slow_responses[args[0]] = _end(run, opts), float(opts["by"])


async def _copies(run: ScenarioRun, args: list[str], opts: Options) -> None:
    worker = run.world.workers[args[0]]
    address = dict(run.nodes)[opts["node"]] if "node" in opts else None
    since, gap = float(opts.get("since", 0)), float(opts.get("gap", 0.3))
    await curio.spawn(worker.deliver_copies, since, gap, address, daemon=True)


async def _late_reports(run: ScenarioRun, _args: list[str], opts: Options) -> None:
    run.world.late_heartbeats_until, run.world.late_heartbeats_share = _end(run, opts), float(opts["share"])


async def _repeat_commands(run: ScenarioRun, _args: list[str], opts: Options) -> None:
    run.world.repeated_commands_until, run.world.repeated_commands_share = _end(run, opts), float(opts["share"])
    run.world.repeated_commands_within_s = float(opts["within"])


# Machines


async def _die(run: ScenarioRun, args: list[str], _opts: Options) -> None:
    run.world.workers[args[0]].fail()


async def _hang(run: ScenarioRun, args: list[str], opts: Options) -> None:
    run.world.workers[args[0]].hang_until = _end(run, opts)


async def _reboot(run: ScenarioRun, args: list[str], _opts: Options) -> None:
    run.world.workers[args[0]].reboot()


async def _sick(run: ScenarioRun, args: list[str], _opts: Options) -> None:
    run.world.workers[args[0]].fails_tasks = True


async def _notice(run: ScenarioRun, args: list[str], opts: Options) -> None:
    run.world.workers[args[0]].notice_until = _end(run, opts)


async def _never_up(run: ScenarioRun, args: list[str], _opts: Options) -> None:
    run.cloud.never_ready = int(args[0])


# State service


async def _outage(run: ScenarioRun, _args: list[str], opts: Options) -> None:
    run.store.outage(float(opts["for"]))


async def _refuse(run: ScenarioRun, args: list[str], opts: Options) -> None:
    run.store.refused_until[args[0]] = _end(run, opts)


async def _slow_store(run: ScenarioRun, _args: list[str], opts: Options) -> None:
    run.store.slow_until, run.store.slow_s = _end(run, opts), float(opts["by"])


async def _slow_writes(run: ScenarioRun, args: list[str], opts: Options) -> None:
    run.store.slow_writes[args[0]] = _end(run, opts), float(opts["by"])


async def _slow_pages(run: ScenarioRun, args: list[str], opts: Options) -> None:
    run.store.slow_pages[args[0]] = float(opts["by"])


async def _too_old(run: ScenarioRun, args: list[str], opts: Options) -> None:
    run.store.too_old[args[0]] = _end(run, opts)


async def _no_watch(run: ScenarioRun, args: list[str], opts: Options) -> None:
    run.store.no_watch[args[0]] = _end(run, opts)


async def _late_writes(run: ScenarioRun, _args: list[str], opts: Options) -> None:
    run.store.late_until, run.store.late_share = _end(run, opts), float(opts["share"])


async def _lose_answers(run: ScenarioRun, _args: list[str], opts: Options) -> None:
    run.store.lose_answers_until = _end(run, opts)


async def _repeat_all(run: ScenarioRun, _args: list[str], _opts: Options) -> None:
    again = run.store.repeat_all("live/machine/")  # watch_records checks machine records that are created again
    if again:
        run.problems.append(f"carried out a second time: {again}")


async def _lower_limits(run: ScenarioRun, _args: list[str], _opts: Options) -> None:
    announced = run.next_limits
    if announced is None:
        raise ValueError("next-limits is missing")
    assert announced.write_rps is not None
    assert announced.value_kb is not None
    assert announced.txn_ops is not None
    run.store.lower_limits(announced.write_rps, announced.value_kb, announced.txn_ops)


ACTIONS: dict[str, ActionFunction] = {
    "submit": _submit,
    "cancel": _cancel,
    "cancel-at-end": _cancel_at_end,
    "again": _again,
    "raw": _raw,
    "sure": _sure,
    "kill": _kill,
    "kill-all": _kill_all,
    "kill-leader": _kill_leader,
    "upgrade": _upgrade,
    "downgrade": _downgrade,
    "cut": _cut,
    "cut-zone": _cut_zone,
    "alone": _alone,
    "mute": _mute,
    "deafen": _deafen,
    "slow-links": _slow_links,
    "slow-responses": _slow_responses,
    "copies": _copies,
    "late-reports": _late_reports,
    "repeat-commands": _repeat_commands,
    "die": _die,
    "hang": _hang,
    "reboot": _reboot,
    "sick": _sick,
    "notice": _notice,
    "never-up": _never_up,
    "outage": _outage,
    "refuse": _refuse,
    "slow-store": _slow_store,
    "slow-writes": _slow_writes,
    "slow-pages": _slow_pages,
    "too-old": _too_old,
    "no-watch": _no_watch,
    "late-writes": _late_writes,
    "lose-answers": _lose_answers,
    "repeat-all": _repeat_all,
    "lower-limits": _lower_limits,
}
