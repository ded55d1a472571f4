"""What a scenario asks: whether something is so at a moment (`sure`), all the time, or at the end (`expect`)."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

from tests.sim.store import LATEST_S

if TYPE_CHECKING:
    from tests.sim.scenario import Play

REVIVED_S, REVIVED_TIMES = 3.0, 3
FIND_S = 5.5  # workers need so long to find another controller


def meets(play: Play, words: list[str]) -> bool:
    """Whether something is so at this moment; with `not` in front, whether it is not."""
    if words[0] == "not":
        return not meets(play, words[1:])
    kind, *args = words
    if kind == "confirmed":  # its user has been told that it is cancelled
        return args[0] in play.world.cancelled_at
    if kind == "runs":  # a task of it is on a machine
        return any(task.name.startswith(args[0] + "/") for _, task in play.world.on_machines())
    if kind == "up":
        return args[0] in play.running
    if kind == "leads":
        return args[0] in play.running and play.controllers[args[0]].membership.leading
    if kind == "holds":  # on record, as the state service has it
        value = play.store.keys.get(f"live/part/{args[1]}")
        return value is not None and value[0]["node"] == args[0]
    if kind == "copied":  # the copy of a controller shows that a job is cancelled
        record = play.controllers[args[0]].replica.state.jobs.get(args[1])
        return record is not None and record.cancelled
    if kind == "heard":  # a controller was told by another that a job is cancelled
        return args[1] in play.controllers[args[0]].reachability.cancelled_by_peers
    if kind == "runs-all":  # all tasks of a gang run
        job = play.world.jobs[args[0]]
        states = [task.state for _, task in play.world.on_machines() if task.name.startswith(args[0] + "/")]
        return states == ["running"] * job["legs"]
    if kind == "gathers":  # a task of a gang waits for the others
        return any(t.name.startswith(args[0] + "/") and t.state == "gathering" for _, t in play.world.on_machines())
    if kind == "answered":  # a user got that status
        return int(args[0]) in play.answers
    if kind in ("recorded", "unrecorded"):  # a key with that beginning is on record, or none
        return any(key.startswith(args[0]) for key in play.store.keys) == (kind == "recorded")
    if kind == "known":  # the copy of a controller has the job
        return args[1] in play.controllers[args[0]].replica.state.jobs
    if kind == "loaded":
        return args[0] in play.running and play.controllers[args[0]].replica.loaded
    raise ValueError(f"unknown state of things: {words}")


async def watch_records(play: Play) -> None:
    """All the time: no machine that is gone for good is taken for room again.

    While the state service is out, nobody can take it off the record, nor put anything onto it, nor while its
    answers come too late. A late transaction may put it back, for as long as its owner needs to take it off;
    whatever does that time and again is a fault. When all controllers end, none is left that knows of the return:
    those that come back find out by the machine's silence, as for any machine that they never heard.
    """
    unheard_s = max(1.5 * play.limits["lease_s"], play.limits["cancel_s"] - play.limits["lease_s"] + FIND_S)
    all_away_at = float("-inf")
    back: dict[str, tuple[int, float]] = {}  # by key: the change that put it there again, and when that was seen
    times: dict[str, int] = {}
    while True:
        await curio.sleep(0.05)
        if not play.running:
            all_away_at = play.clock.now
        for key, (value, version, _) in play.store.keys.items():
            if key.startswith("live/machine/") and value["open"]:
                name = key.rsplit("/", 1)[1]
                gone_at = play.cloud.machines[name].get("gone_at", play.clock.now)
                if gone_at <= all_away_at:
                    gone_at = all_away_at + unheard_s
                gone_at = max(gone_at, play.store.outage_until, play.store.slow_until)
                if play.clock.now <= gone_at:
                    back[key] = version, play.clock.now
                    continue
                if back.setdefault(key, (version, gone_at))[0] != version:
                    back[key] = version, play.clock.now
                    times[key] = times.get(key, 0) + 1
                # The transaction that takes it off may itself be one that is carried out late.
                timeout_s = REVIVED_S + (LATEST_S if play.clock.now < play.store.late_until + LATEST_S else 0.0)
                if play.clock.now - max(gone_at, back[key][1]) > timeout_s or times.get(key, 0) > REVIVED_TIMES:
                    play.problems.append(f"revived: {name} at {play.clock.now - 1000:.2f}")
                    return


def holds(play: Play, words: list[str]) -> bool:
    """Whether an expectation at the end of a scenario is met."""
    kind, args = words[0], words[1:]
    if kind == "told":
        return play.told.get(args[0], ["nothing"])[-1] == args[1]
    if kind == "attempts":  # attempts JOB NUMBER: so many attempts of a gang have run
        return play.world.gangs.starts.get(args[0], 0) == int(args[1])
    if kind == "orderly":  # orderly JOB NUMBER: so many of them saved their progress when they were stopped
        return play.world.gangs.orderly.get(args[0], 0) == int(args[1])
    if kind == "on":  # on JOB COUNT: replicas that run at the end
        found = [t for _, t in play.world.on_machines() if t.name.startswith(args[0] + "/")]
        return len(found) == int(args[1])
    if kind == "begun":  # begun JOB SECONDS: its first task started so soon after its submission
        began = play.world.began.get(args[0], float("inf"))
        return began - play.world.submitted[args[0]] <= float(args[1])
    if kind == "session":  # session MACHINE NUMBER: its lease ran out so often, plus one
        return play.world.workers[args[0]].session == int(args[1])
    if kind == "late-writes":  # so many transactions were carried out late: met their conditions, and did not
        return play.store.late_applied >= int(args[0]) and play.store.late_refused >= int(args[1])
    if kind == "late-reports":
        return play.world.late_reports >= int(args[0])
    if kind == "leaders":  # so many leaders came to an end
        return play.leaders_ended == int(args[0])
    if kind == "repeated":  # repeated PREFIX NUMBER: so many transactions that created such keys were repeated
        return play.store.repeated.get(args[0], 0) >= int(args[1])
    if kind == "throttled":
        return play.store.throttled <= int(args[0])
    if kind == "machines":
        up = sum(not m["gone"] for m in play.cloud.machines.values())
        return int(args[0]) <= up <= int(args[1])
    if kind in ("gone", "kept"):  # a machine was returned, or not
        return bool(play.cloud.machines[args[0]]["gone"]) == (kind == "gone")
    if kind == "started":
        return play.world.rules.started <= int(args[0])
    if kind == "started-once":  # each task, and once more for each worker that forgot it as its lease ended
        rules = play.world.rules
        return all(n <= 1 + rules.lost_with_lease.get(name, 0) for name, n in rules.starts.items())
    if kind == "empty":  # empty PREFIX: no key with it is left in the state service
        return not [key for key in play.store.keys if key.startswith(args[0])]
    raise ValueError(f"unknown expectation: {words}")
