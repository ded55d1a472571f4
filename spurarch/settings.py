"""Settings: the platform's file (TOML) and the operators' tuning file (S-expressions), both validated on loading."""

from __future__ import annotations

import tomllib
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct, field

from spurarch.errors import SpurarchError

Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
Address = Annotated[str, Meta(pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$")]
GUARDS_PER_CHANGE = 4  # guards that the state service accepts per transaction, for each change that `txn_ops` allows
Name = Annotated[str, Meta(min_length=1, max_length=200, pattern=r"^[^\s/]+$")]


class SettingsError(SpurarchError):
    """A setting is missing, malformed or out of range. The message names file, field and reason."""


class Team(Struct):
    """A team's guaranteed resources and its quota, in CPUs and GPUs; 0 means no guarantee or no quota."""

    name: str
    guaranteed_cpus: NotNegative = field(name="cpus", default=0.0)
    quota_cpus: NotNegative = field(name="cpus_max", default=0.0)
    guaranteed_gpus: NotNegative = field(name="gpus", default=0.0)
    quota_gpus: NotNegative = field(name="gpus_max", default=0.0)


class Objective(Struct):
    """A service-level objective for a class of jobs. Unsupported kinds are ignored."""

    kind: str
    job_class: str | None = field(name="class", default=None)
    share: float = 0.0
    times: float = 1.0
    within_s: float = 0.0


class Workers(Struct):
    """Intervals and timeouts of workers: heartbeats, leases, cancellations and gangs."""

    heartbeat_interval_s: Positive = field(name="report_s")
    lease_s: Positive
    cancel_s: Positive
    gang_wait_s: Positive = 30.0
    gang_peer_s: Positive = 4.0


class NextStateLimits(Struct):
    """Limits that the state service will apply from an unannounced time on; None leaves a limit unchanged."""

    rps: Positive | None = None
    write_rps: Positive | None = None
    value_kb: Positive | None = None
    txn_ops: Annotated[int, Meta(ge=4)] | None = None


def _lower_limit(current: float, upcoming: float | None) -> float:
    return current if upcoming is None else min(current, upcoming)


class StateLimits(Struct):
    """Published limits of the state service.

    The service changes to the `next` limits without notice. Sizes therefore stay within the lower of both limits. Rates
    start at the current limit and are reduced, down to the next one, when the service refuses requests.
    """

    rps: Positive
    write_rps: Positive
    value_kb: Positive
    txn_ops: Annotated[int, Meta(ge=4)]
    next: NextStateLimits | None = None

    @property
    def value_bytes(self) -> int:
        """Maximum size of a value, in bytes."""
        return int(_lower_limit(self.value_kb, self.next.value_kb if self.next else None) * 1024)

    @property
    def transaction_changes(self) -> int:
        """Maximum number of changes in a transaction."""
        return int(_lower_limit(self.txn_ops, self.next.txn_ops if self.next else None))

    @property
    def transaction_guards(self) -> int:
        """Maximum number of guards in a transaction, including those of the keys that it writes."""
        return GUARDS_PER_CHANGE * self.transaction_changes

    @property
    def lowest_rps(self) -> float:
        """Requests per second that the service allows both under the current and under the `next` limits."""
        return _lower_limit(self.rps, self.next.rps if self.next else None)

    @property
    def lowest_write_rps(self) -> float:
        """Changes per second that the service allows both under the current and under the `next` limits."""
        return _lower_limit(self.write_rps, self.next.write_rps if self.next else None)


class CloudLimits(Struct):
    """Published limits of the cloud; its list of machines lags behind requests by up to `list_lag_s` seconds."""

    rps: Positive
    list_lag_s: NotNegative


# Settings below a minimum are refused. Below the recommended value, a controller logs a warning and runs with degraded
# performance.
MIN_CPU_CORES, RECOMMENDED_CPU_CORES = 0.02, 0.1  # an idle controller uses about 0.02 cores
MIN_MEMORY_MB, RECOMMENDED_MEMORY_MB = 20.0, 64.0  # a controller uses 16 MB after start, up to 44 MB with 680 machines
MIN_SOCKETS, RECOMMENDED_SOCKETS = 32, 256


class Limits(Struct):
    """Resources that one controller may use: processor cores, memory and open sockets."""

    cpu: Annotated[float, Meta(ge=MIN_CPU_CORES)] = 1.0
    memory_mb: Annotated[float, Meta(ge=MIN_MEMORY_MB)] = field(name="mem_mb", default=256.0)
    sockets: Annotated[int, Meta(ge=MIN_SOCKETS)] = field(name="fd_limit", default=1024)

    def below_recommended(self) -> list[str]:
        """Returns the fields below their recommended values, with both values, as texts for a warning."""
        limits = {
            "cpu": (self.cpu, RECOMMENDED_CPU_CORES),
            "mem_mb": (self.memory_mb, RECOMMENDED_MEMORY_MB),
            "fd_limit": (self.sockets, RECOMMENDED_SOCKETS),
        }
        return [
            f"{name} = {value:g}, below {recommended:g}"
            for name, (value, recommended) in limits.items()
            if value < recommended
        ]


class Deployment(Struct):
    """Settings that are the same for all controllers of a deployment; `count` is the number of controllers."""

    zones: Annotated[list[Name], Meta(min_length=1)]
    teams: list[Team]
    workers: Workers
    state: StateLimits
    cloud: CloudLimits
    count: Annotated[int, Meta(ge=1)] = 1
    max_clock_offset_ms: NotNegative = field(name="time_bound_ms", default=1000.0)
    objectives: list[Objective] = []
    limits: Limits = field(default_factory=Limits)


class Peer(Struct):
    """A peer controller."""

    node: Name
    area: str
    address: Address = field(name="peer_addr")


class External(Struct):
    """Addresses of the external systems: the cloud and the state service."""

    cloud: Address
    state: Address


class Platform(Struct):
    """The platform's settings file. Unknown fields are ignored."""

    node: Name
    area: str
    listen: Address = field(name="public_addr")
    peer_listen: Address = field(name="back")
    external: External
    deployment: Deployment
    peers: list[Peer] = field(name="siblings", default=[])


class Tuning(Struct, forbid_unknown_fields=True, rename="kebab"):
    """The operators' settings, described in docs/operations.md."""

    edge_weight: Share = 0.234
    imbalance_weight: Share = 0.512
    move_weight: Share = 0.254
    round_s: Positive = 10.0
    margin: NotNegative = 0.05
    moves_per_round: Annotated[int, Meta(ge=0, le=100)] = 3
    tabu_tenure: Annotated[int, Meta(ge=1, le=1000)] = 7
    tabu_iterations: Annotated[int, Meta(ge=1, le=10000)] = 60
    tabu_stall_limit: Annotated[int, Meta(ge=1, le=10000)] = field(name="tabu-patience", default=12)
    consolidation_cap: Share = 0.7
    service_minimum: Share = 0.5
    budget_ms: Positive = 25.0
    member_ttl_s: Annotated[float, Meta(ge=0.5, le=600)] = 4.0
    idle_release_s: NotNegative = field(name="idle-return-s", default=40.0)
    headroom: NotNegative = 0.1
    scale_out_interval_s: Positive = field(name="rent-pause-s", default=1.0)
    turnover_share: Share = 0.5
    capacity_backoff_s: Positive = 20.0
    silent_release_s: NotNegative = field(name="silent-return-s", default=6.0)
    longest_wait_s: Positive = 120.0
    ahead_s: NotNegative = 4.0
    size_weight: NotNegative = 0.4
    guarantee_wait_s: NotNegative = 8.0
    seed: int = 1
    recovery: bool = False
    installation: Annotated[str, Meta(max_length=100, pattern=r"^[^\s]*$")] = ""
    archive_address: str = ""
    archive_away: Annotated[str, Meta(pattern="^(go-on|hold)$")] = "go-on"
    archive_timeout_s: Positive = field(name="archive-patience-s", default=20.0)


def _read(path: str) -> str:
    with open(path, encoding="utf-8") as file:
        return file.read()


def _convert(data: object, kind: Any, source: str) -> Any:
    try:
        return msgspec.convert(data, kind, strict=kind is not Tuning)
    except msgspec.ValidationError as err:
        reason, _, where = str(err).partition(" - at ")
        place = where.strip("`").removeprefix("$").lstrip(".") or "top level"
        raise SettingsError(f"{source}: {place}: {reason}") from None


def load_platform(path: str) -> Platform:
    """Reads and validates the platform's file. Raises SettingsError."""
    try:
        data = tomllib.loads(_read(path))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as err:
        raise SettingsError(f"{path}: {getattr(err, 'strerror', None) or err}") from None
    platform: Platform = _convert(data, Platform, path)
    names = [team.name for team in platform.deployment.teams]
    if len(set(names)) != len(names):
        raise SettingsError(f"{path}: deployment.teams: a name stands twice")
    workers = platform.deployment.workers
    if workers.cancel_s <= workers.lease_s:
        raise SettingsError(f"{path}: deployment.workers.cancel_s: must be longer than lease_s")
    return platform


def load_tuning(path: str | None) -> Tuning:
    """Reads and validates the operators' file, such as `((round-s 10) (margin 0.02))`. Raises SettingsError.

    Returns the defaults if `path` is None.
    """
    if path is None:
        return Tuning()
    import sexpdata  # loaded only here, so that a controller without this file starts faster

    try:
        data = sexpdata.loads(_read(path))
    except OSError as err:
        raise SettingsError(f"{path}: {err.strerror}") from None
    except Exception as err:  # the errors of sexpdata have no common base class
        raise SettingsError(f"{path}: not an S-expression: {err}") from None
    if not isinstance(data, list):
        raise SettingsError(f"{path}: top level: expected a list of (name value)")
    values: dict[str, object] = {}
    for item in data:
        if not (isinstance(item, list) and len(item) == 2 and isinstance(item[0], sexpdata.Symbol)):
            raise SettingsError(f"{path}: top level: expected (name value), got {sexpdata.dumps(item)}")
        name = item[0].value()
        if name in values:
            raise SettingsError(f"{path}: {name}: stands twice")
        values[name] = item[1]
    tuning: Tuning = _convert(values, Tuning, path)
    return tuning
