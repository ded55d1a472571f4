"""Every name in the platform file and the operators' file, and the output of the commands `settings` and `check`."""

from __future__ import annotations

from pathlib import Path

import pytest

from spurarch import cli
from spurarch.settings import (
    CloudLimits,
    Deployment,
    External,
    Limits,
    NextStateLimits,
    Objective,
    Peer,
    Platform,
    StateLimits,
    Team,
    Tuning,
    Workers,
    load_platform,
    load_tuning,
)

FULL_PLATFORM = """\
node = "croft-1"
area = "a"
public_addr = "127.0.0.1:8080"
back = "127.0.0.1:8081"

[external]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"

[[siblings]]
node = "croft-2"
area = "b"
peer_addr = "10.0.0.2:8081"

[deployment]
zones = ["a", "b"]
count = 2
time_bound_ms = 250.5

[[deployment.teams]]
name = "vision"
cpus = 8
cpus_max = 16.5
gpus = 1
gpus_max = 2

[[deployment.objectives]]
kind = "deadline"
class = "train"
share = 0.95
times = 2.5
within_s = 30

[deployment.workers]
report_s = 1.5
lease_s = 10
cancel_s = 30
gang_wait_s = 20
gang_peer_s = 3

[deployment.state]
rps = 200
write_rps = 80
value_kb = 16
txn_ops = 24

[deployment.state.next]
rps = 100
write_rps = 56
value_kb = 2
txn_ops = 8

[deployment.cloud]
rps = 8
list_lag_s = 5

[deployment.limits]
cpu = 0.5
mem_mb = 128
fd_limit = 512
"""
FULL_TUNING = """\
((edge-weight 0.1) (imbalance-weight 0.2) (move-weight 0.3) (round-s 20) (margin 0.02) (moves-per-round 1)
 (tabu-tenure 8) (tabu-iterations 61) (tabu-patience 13) (consolidation-cap 0.6) (service-minimum 0.4)
 (budget-ms 26) (member-ttl-s 5) (idle-return-s 41) (headroom 0.2) (rent-pause-s 2) (turnover-share 0.6)
 (capacity-backoff-s 21) (silent-return-s 7) (longest-wait-s 121) (ahead-s 5) (size-weight 0.5)
 (guarantee-wait-s 9) (seed 2) (recovery t) (installation "site") (archive-address "10.0.9.9:8090")
 (archive-away "hold") (archive-patience-s 21))
"""
FULL_OUTPUT = """\
{
  "node": "croft-1",
  "area": "a",
  "public_addr": "127.0.0.1:8080",
  "back": "127.0.0.1:8081",
  "external": {
    "cloud": "10.2.0.2:8443",
    "state": "10.2.0.1:2379"
  },
  "deployment": {
    "zones": [
      "a",
      "b"
    ],
    "teams": [
      {
        "name": "vision",
        "cpus": 8.0,
        "cpus_max": 16.5,
        "gpus": 1.0,
        "gpus_max": 2.0
      }
    ],
    "workers": {
      "report_s": 1.5,
      "lease_s": 10.0,
      "cancel_s": 30.0,
      "gang_wait_s": 20.0,
      "gang_peer_s": 3.0
    },
    "state": {
      "rps": 200.0,
      "write_rps": 80.0,
      "value_kb": 16.0,
      "txn_ops": 24,
      "next": {
        "rps": 100.0,
        "write_rps": 56.0,
        "value_kb": 2.0,
        "txn_ops": 8
      }
    },
    "cloud": {
      "rps": 8.0,
      "list_lag_s": 5.0
    },
    "count": 2,
    "time_bound_ms": 250.5,
    "objectives": [
      {
        "kind": "deadline",
        "class": "train",
        "share": 0.95,
        "times": 2.5,
        "within_s": 30.0
      }
    ],
    "limits": {
      "cpu": 0.5,
      "mem_mb": 128.0,
      "fd_limit": 512
    }
  },
  "siblings": [
    {
      "node": "croft-2",
      "area": "b",
      "peer_addr": "10.0.0.2:8081"
    }
  ]
}
((edge-weight 0.1) (imbalance-weight 0.2) (move-weight 0.3) (round-s 20.0) (margin 0.02) (moves-per-round 1) \
(tabu-tenure 8) (tabu-iterations 61) (tabu-patience 13) (consolidation-cap 0.6) (service-minimum 0.4) \
(budget-ms 26.0) (member-ttl-s 5.0) (idle-return-s 41.0) (headroom 0.2) (rent-pause-s 2.0) (turnover-share 0.6) \
(capacity-backoff-s 21.0) (silent-return-s 7.0) (longest-wait-s 121.0) (ahead-s 5.0) (size-weight 0.5) \
(guarantee-wait-s 9.0) (seed 2) (recovery t) (installation "site") (archive-address "10.0.9.9:8090") \
(archive-away "hold") (archive-patience-s 21.0))
"""

SHORT_PLATFORM = """\
node = "n0"
area = "a"
public_addr = "127.0.0.1:1"
back = "127.0.0.1:2"
unknown = 1
[external]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[deployment]
zones = ["a"]
teams = []
[deployment.workers]
report_s = 1.0
lease_s = 10.0
cancel_s = 30.0
[deployment.state]
rps = 100.0
write_rps = 50.0
value_kb = 8.0
txn_ops = 24
[deployment.cloud]
rps = 3.0
list_lag_s = 5.0
"""
SHORT_OUTPUT = """\
{
  "node": "n0",
  "area": "a",
  "public_addr": "127.0.0.1:1",
  "back": "127.0.0.1:2",
  "external": {
    "cloud": "127.0.0.1:3",
    "state": "127.0.0.1:4"
  },
  "deployment": {
    "zones": [
      "a"
    ],
    "teams": [],
    "workers": {
      "report_s": 1.0,
      "lease_s": 10.0,
      "cancel_s": 30.0,
      "gang_wait_s": 30.0,
      "gang_peer_s": 4.0
    },
    "state": {
      "rps": 100.0,
      "write_rps": 50.0,
      "value_kb": 8.0,
      "txn_ops": 24,
      "next": null
    },
    "cloud": {
      "rps": 3.0,
      "list_lag_s": 5.0
    },
    "count": 1,
    "time_bound_ms": 1000.0,
    "objectives": [],
    "limits": {
      "cpu": 1.0,
      "mem_mb": 256.0,
      "fd_limit": 1024
    }
  },
  "siblings": []
}
((edge-weight 0.234) (imbalance-weight 0.512) (move-weight 0.254) (round-s 10.0) (margin 0.05) (moves-per-round 3) \
(tabu-tenure 7) (tabu-iterations 60) (tabu-patience 12) (consolidation-cap 0.7) (service-minimum 0.5) \
(budget-ms 25.0) (member-ttl-s 4.0) (idle-return-s 40.0) (headroom 0.1) (rent-pause-s 1.0) (turnover-share 0.5) \
(capacity-backoff-s 20.0) (silent-return-s 6.0) (longest-wait-s 120.0) (ahead-s 4.0) (size-weight 0.4) \
(guarantee-wait-s 8.0) (seed 1) (recovery ()) (installation "") (archive-address "") (archive-away "go-on") \
(archive-patience-s 20.0))
"""


@pytest.fixture
def platform_file(tmp_path: Path) -> Path:
    """Writes a platform file with only the required settings and returns its path."""
    path = tmp_path / "p.toml"
    path.write_text(SHORT_PLATFORM)
    return path


def test_settings_with_every_name_are_printed_exactly_so(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    platform, tuning = tmp_path / "p.toml", tmp_path / "t.sexp"
    platform.write_text(FULL_PLATFORM)
    tuning.write_text(FULL_TUNING)

    code = cli.main(["settings", "--config", str(platform), "--tuning", str(tuning)])

    assert code == 0
    assert capsys.readouterr().out == FULL_OUTPUT


def test_settings_that_are_left_out_are_printed_with_their_defaults(
    platform_file: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert cli.main(["settings", "--config", str(platform_file)]) == 0
    assert capsys.readouterr().out == SHORT_OUTPUT


def test_every_name_of_the_platform_file_is_read(tmp_path: Path) -> None:
    path = tmp_path / "p.toml"
    path.write_text(FULL_PLATFORM)

    platform = load_platform(str(path))

    deployment = Deployment(
        ["a", "b"],
        [Team("vision", 8.0, 16.5, 1.0, 2.0)],
        Workers(1.5, 10.0, 30.0, 20.0, 3.0),
        StateLimits(200.0, 80.0, 16.0, 24, NextStateLimits(100.0, 56.0, 2.0, 8)),
        CloudLimits(8.0, 5.0),
        2,
        250.5,
        [Objective("deadline", "train", 0.95, 2.5, 30.0)],
        Limits(0.5, 128.0, 512),
    )
    external, peer = External("10.2.0.2:8443", "10.2.0.1:2379"), Peer("croft-2", "b", "10.0.0.2:8081")
    assert platform == Platform("croft-1", "a", "127.0.0.1:8080", "127.0.0.1:8081", external, deployment, [peer])


def test_every_name_of_the_operators_file_is_read(tmp_path: Path) -> None:
    path = tmp_path / "t.sexp"
    path.write_text(FULL_TUNING)
    assert load_tuning(str(path)) == Tuning(
        0.1,
        0.2,
        0.3,
        20.0,
        0.02,
        1,
        8,
        61,
        13,
        0.6,
        0.4,
        26.0,
        5.0,
        41.0,
        0.2,
        2.0,
        0.6,
        21.0,
        7.0,
        121.0,
        5.0,
        0.5,
        9.0,
        2,
        True,
        "site",
        "10.0.9.9:8090",
        "hold",
        21.0,
    )


def test_good_settings_are_called_good(platform_file: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert cli.main(["check", "--config", str(platform_file)]) == 0
    assert capsys.readouterr() == ("settings are good\n", "")


PLATFORM_ERRORS = [
    ('node = "n0"', "", "top level: Object missing required field `node`"),
    ('node = "n0"', 'node = ""', "node: Expected `str` of length >= 1"),
    ('node = "n0"', 'node = "a b"', "node: Expected `str` matching regex '^[^\\\\s/]+$'"),
    (
        '"127.0.0.1:1"',
        '"here"',
        "public_addr: Expected `str` matching regex '^[0-9]{1,3}(\\\\.[0-9]{1,3}){3}:[0-9]{1,5}$'",
    ),
    ('back = "127.0.0.1:2"', "", "top level: Object missing required field `back`"),
    ('cloud = "127.0.0.1:3"', "", "external: Object missing required field `cloud`"),
    ('zones = ["a"]', "zones = []", "deployment.zones: Expected `array` of length >= 1"),
    ('zones = ["a"]', 'zones = ["a", 1]', "deployment.zones[1]: Expected `str`, got `int`"),
    ("teams = []", "", "deployment: Object missing required field `teams`"),
    ("teams = []", 'teams = [{name = "t"}, {name = "t"}]', "deployment.teams: a name stands twice"),
    ("teams = []", 'teams = [{name = "t", cpus = -1.0}]', "deployment.teams[0].cpus: Expected `float` >= 0.0"),
    ("lease_s = 10.0", "", "deployment.workers: Object missing required field `lease_s`"),
    ("lease_s = 10.0", "lease_s = -1.0", "deployment.workers.lease_s: Expected `float` > 0.0"),
    ("cancel_s = 30.0", "cancel_s = 9.0", "deployment.workers.cancel_s: must be longer than lease_s"),
    ("txn_ops = 24", "txn_ops = 3", "deployment.state.txn_ops: Expected `int` >= 4"),
    ("txn_ops = 24", "txn_ops = 24\nnext = {txn_ops = 3}", "deployment.state.next.txn_ops: Expected `int` >= 4"),
    ("rps = 3.0", "rps = 0.0", "deployment.cloud.rps: Expected `float` > 0.0"),
    (
        "[deployment.cloud]",
        "[deployment.limits]\ncpu = 0.01\n[deployment.cloud]",
        "deployment.limits.cpu: Expected `float` >= 0.02",
    ),
    (
        "[deployment.cloud]",
        "[deployment.limits]\nmem_mb = 12.0\n[deployment.cloud]",
        "deployment.limits.mem_mb: Expected `float` >= 20.0",
    ),
    (
        "[deployment.cloud]",
        "[deployment.limits]\nfd_limit = 20\n[deployment.cloud]",
        "deployment.limits.fd_limit: Expected `int` >= 32",
    ),
    ("[external]", "[external", "Expected ']' at the end of a table declaration (at line 6, column 10)"),
]


@pytest.mark.parametrize(("old", "new", "message"), PLATFORM_ERRORS, ids=[case[2][:40] for case in PLATFORM_ERRORS])
def test_bad_platform_settings_are_refused_in_exactly_this_line(
    platform_file: Path, capsys: pytest.CaptureFixture[str], old: str, new: str, message: str
) -> None:
    platform_file.write_text(SHORT_PLATFORM.replace(old, new))
    assert cli.main(["check", "--config", str(platform_file)]) == 2
    assert capsys.readouterr() == ("", f"spurarch: {platform_file}: {message}\n")


TUNING_ERRORS = [
    ("((round-s 0))", "round-s: Expected `float` > 0.0"),
    ("((round_s 1))", "top level: Object contains unknown field `round_s`"),
    ("((nothing 1))", "top level: Object contains unknown field `nothing`"),
    ("((round-s 1) (round-s 2))", "round-s: stands twice"),
    ("(round-s)", "top level: expected (name value), got round-s"),
    ("((round-s))", "top level: expected (name value), got (round-s)"),
    ("round-s", "top level: expected a list of (name value)"),
    ('((margin "x"))', "margin: Expected `float`, got `str`"),
    ("((edge-weight 2))", "edge-weight: Expected `float` <= 1.0"),
    ("((moves-per-round 101))", "moves-per-round: Expected `int` <= 100"),
    ("((member-ttl-s 0.1))", "member-ttl-s: Expected `float` >= 0.5"),
    ('((archive-away "x"))', "archive-away: Expected `str` matching regex '^(go-on|hold)$'"),
    ('((installation "a b"))', "installation: Expected `str` matching regex '^[^\\\\s]*$'"),
]


@pytest.mark.parametrize(("text", "message"), TUNING_ERRORS, ids=[case[0] for case in TUNING_ERRORS])
def test_bad_operators_settings_are_refused_in_exactly_this_line(
    platform_file: Path, tmp_path: Path, capsys: pytest.CaptureFixture[str], text: str, message: str
) -> None:
    path = tmp_path / "t.sexp"
    path.write_text(text)
    assert cli.main(["check", "--config", str(platform_file), "--tuning", str(path)]) == 2
    assert capsys.readouterr() == ("", f"spurarch: {path}: {message}\n")


def test_an_operators_file_that_is_no_s_expression_is_refused_in_one_line(
    platform_file: Path, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "t.sexp"
    path.write_text("((")
    assert cli.main(["check", "--config", str(platform_file), "--tuning", str(path)]) == 2
    error = capsys.readouterr().err
    assert error.startswith(f"spurarch: {path}: not an S-expression: ")
    assert error.count("\n") == 1


@pytest.mark.parametrize(
    ("limits", "scarce"),
    [
        (
            "cpu = 0.05\nmem_mb = 32.0\nfd_limit = 100",
            ["cpu = 0.05, below 0.1", "mem_mb = 32, below 64", "fd_limit = 100, below 256"],
        ),
        ("cpu = 0.1\nmem_mb = 64.0\nfd_limit = 256", []),
    ],
    ids=["scarce", "enough"],
)
def test_limits_that_are_scarce_are_named(platform_file: Path, limits: str, scarce: list[str]) -> None:
    platform_file.write_text(f"{SHORT_PLATFORM}[deployment.limits]\n{limits}\n")
    assert load_platform(str(platform_file)).deployment.limits.below_recommended() == scarce
