"""Draws the jobs and faults of a soak run from a seed, deterministically, so that a failing seed can be repeated."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from tests.sim.loopback import Job, LoopbackSettings

FAULT_KINDS = (
    "kill",
    "kill-leader",
    "kill-all",
    "pause",
    "pause-leader",
    "peers-hold",
    "peers-refuse",
    "refuse-leader",
    "outage",
    "slow-state",
    "late-writes",
    "lost-answers",
    "repeated-writes",
    "too-old",
    "no-watch",
    "slow-pages",
    "hang",
    "deaf",
    "mute",
    "machine-dies",
    "late-reports",
    "late-commands",
    "repeated-commands",
    "late-responses",
    "cancel-burst",
    "leaders-in-series",
)
SIZES = ("small", "large")
SPAN_S = {"small": 36.0, "large": 45.0}  # time in which jobs are submitted and faults begin
FIRST_FAULT_S = 5.0
TASK_CPUS = (0.3, 0.7, 1.0, 1.1, 2.0)


@dataclass(frozen=True)
class InjectedFault:
    """A fault that the soak injects."""

    at_s: float
    kind: str
    for_s: float
    choice: float  # selects what is affected, as a position from 0 to 1 in the list of candidates


@dataclass(frozen=True)
class PlannedJob:
    """A job with the times at which its user submits it, cancels it and repeats its submission."""

    at_s: float
    job: Job
    cancel_after_s: float | None = None
    repeat_after_s: float | None = None


@dataclass(frozen=True)
class SoakPlan:
    """The plan of a run."""

    seed: int
    size: str
    settings: LoopbackSettings
    jobs: list[PlannedJob]
    faults: list[InjectedFault]


def settings_of(seed: int, size: str) -> LoopbackSettings:
    """Returns the settings of the installation for a run."""
    if size == "small":
        return LoopbackSettings(
            controllers=3 + seed % 2,
            machines=8,
            report_s=0.5,
            lease_s=5.0,
            cancel_s=14.0,
            rps=300.0,
            write_rps=90.0,
            teams={"u": 6.0, "v": 5.5, "w": 9.0},
            archive=False,
            seed=seed,
            capacity=10,
        )
    return LoopbackSettings(
        controllers=5,
        machines=200,
        report_s=2.5,
        lease_s=10.0,
        cancel_s=25.0,
        rps=400.0,
        write_rps=120.0,
        teams={"u": 120.0, "v": 100.5, "w": 180.0},
        archive=False,
        seed=seed,
        capacity=130,
    )


def make_plan(seed: int, size: str, only: tuple[str, ...] = FAULT_KINDS) -> SoakPlan:
    """Returns the plan of a seed, with faults of the kinds in `only`; raises ValueError for an unknown argument."""
    if size not in SIZES:
        raise ValueError(f"unknown size {size!r}: one of {', '.join(SIZES)}")
    for kind in only:
        if kind not in FAULT_KINDS:
            raise ValueError(f"unknown trouble {kind!r}: one of {', '.join(FAULT_KINDS)}")
    if seed < 1:
        raise ValueError(f"unknown seed {seed}: a whole number from 1 on")
    random = Random(f"{seed} {size}")
    settings = settings_of(seed, size)
    jobs = [job for team in settings.teams for job in _jobs_of(team, settings.teams[team], random, SPAN_S[size])]
    jobs = [
        PlannedJob(
            p.at_s,
            Job(f"job-{n:06d}", p.job.tasks, p.job.run_s, p.job.kind, p.job.cpus, p.job.team, p.job.priority),
            p.cancel_after_s,
            p.repeat_after_s,
        )
        for n, p in enumerate(sorted(jobs, key=lambda planned: planned.at_s))
    ]
    return SoakPlan(seed, size, settings, jobs, _draw_faults(random, SPAN_S[size], only))


def _jobs_of(team: str, limit: float, random: Random, span_s: float) -> list[PlannedJob]:
    """Draws jobs that request more than the team's limit over the whole time."""
    out: list[PlannedJob] = []
    requested_cpu_s, target_cpu_s = 0.0, 1.2 * limit * span_s
    while requested_cpu_s < target_cpu_s:
        kind = random.choices(["batch", "gang", "daemon"], [5, 2, 2])[0]
        cpus = random.choice(TASK_CPUS)
        max_tasks = max(2, int(limit / cpus / (1 if kind == "batch" else 3)))
        tasks = min(random.randint(1, max_tasks), 60)
        run_s = random.uniform(1.5, 6.0)
        cancelled = kind == "daemon" or random.random() < 0.2
        after_s = random.uniform(0.2, 12.0) if cancelled else None
        repeat_s = random.uniform(0.1, 20.0) if random.random() < 0.3 else None
        priority = "production" if kind == "daemon" else random.choice(["high", "normal"])
        job = Job("", tasks, run_s, kind, cpus, team, priority)
        out.append(PlannedJob(random.uniform(0.0, span_s), job, after_s, repeat_s))
        requested_cpu_s += tasks * cpus * (after_s or run_s)
    return out


def _draw_faults(random: Random, span_s: float, only: tuple[str, ...]) -> list[InjectedFault]:
    """Draws groups of two or three overlapping faults."""
    out: list[InjectedFault] = []
    at_s = FIRST_FAULT_S
    while at_s < span_s - 4.0:
        for _ in range(random.choice([2, 2, 3])):
            kind = random.choice(only)
            for_s = random.choice([0.2, 0.5, 1.5, 4.0, 7.0, 9.0])
            out.append(InjectedFault(at_s + random.uniform(0.0, 2.0), kind, for_s, random.random()))
        at_s += random.uniform(5.0, 10.0)
    return sorted(out, key=lambda fault: fault.at_s)
