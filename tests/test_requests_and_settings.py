"""Malformed requests, settings and tuning are refused with a precise error, and never stop the process."""

from __future__ import annotations

import ast
from contextlib import aclosing
from pathlib import Path
from types import SimpleNamespace

import curio
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from spurarch import cli
from spurarch.coordination.api.jobs import FeasibilityCheck
from spurarch.protocol import peer_messages, wire
from spurarch.settings import (
    CloudLimits,
    Deployment,
    NextStateLimits,
    SettingsError,
    StateLimits,
    Team,
    Workers,
    load_platform,
    load_tuning,
)
from spurarch.transport.http import HttpClient, HttpServer, Request, Response
from tests.sim.addresses import ReservedAddresses

ROOT = Path(__file__).parent.parent
VALID_SUBMISSION = {
    "ref": "job-1",
    "circuit": "c",
    "crew": "t",
    "gait": "batch",
    "precedence": "high",
    "legs": 1,
    "vcpus": 1.0,
    "gpus": 0,
    "memory_gb": 1,
    "kit": "i",
    "pull_gb": 0,
    "together": False,
    "spread": False,
    "lendable": True,
    "reckon_s": 1,
    "waypoint_s": 0,
    "stow_s": 0,
}

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner, max_size=3),
    max_leaves=6,
)


def test_a_valid_submission_is_accepted_and_unknown_fields_are_ignored() -> None:
    spec = wire.submission_decoder.decode(msgspec.json.encode({**VALID_SUBMISSION, "new": [1], "cutoff_s": None}))
    assert (spec.id, spec.tasks, spec.deadline_s) == ("job-1", 1, None)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("legs", 0),
        ("legs", 100_001),
        ("legs", "1"),
        ("legs", True),
        ("vcpus", -1),
        ("vcpus", 1e300),
        ("gait", "x"),
        ("precedence", "x"),
        ("together", 1),
        ("builds", "g8"),
        ("ref", ""),
        ("memory_gb", None),
    ],
)
def test_invalid_fields_are_refused(field: str, value: object) -> None:
    with pytest.raises(msgspec.ValidationError):
        wire.submission_decoder.decode(msgspec.json.encode({**VALID_SUBMISSION, field: value}))


@pytest.mark.parametrize("field", sorted(VALID_SUBMISSION))
def test_missing_fields_are_refused(field: str) -> None:
    with pytest.raises(msgspec.ValidationError):
        wire.submission_decoder.decode(msgspec.json.encode({k: v for k, v in VALID_SUBMISSION.items() if k != field}))


@settings(max_examples=150)
@given(st.binary(max_size=80) | json_values.map(msgspec.json.encode))
def test_nothing_but_a_decode_error_comes_of_garbage(body: bytes) -> None:
    for decoder in (wire.submission_decoder, wire.heartbeat_decoder, wire.changes_decoder, wire.list_decoder):
        with pytest.raises((msgspec.DecodeError, UnicodeDecodeError)):
            decoder.decode(body)
    assert peer_messages.decode(body) is None or isinstance(peer_messages.decode(body), peer_messages.PeerMessage)


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\n\r\n", b"400"),
        (b"GET /x HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 40_000 + b"\r\n\r\n", b"431"),
        (b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 70000\r\n\r\n" + b"z" * 70_000, b"413"),
        (b"GET /x HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n", b"400"),
        (b"GET /boom HTTP/1.1\r\nHost: a\r\n\r\n", b"500"),
        (b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n", b"200"),
    ],
    ids=["nonsense", "no-host", "long-head", "long-body", "bad-length", "handler-fails", "good"],
)
def test_the_server_answers_malformed_and_oversized_requests(raw: bytes, status: bytes) -> None:
    async def handler(request: Request) -> Response:
        if request.target == "/boom":
            raise RuntimeError("boom")
        return Response(200)

    async def main(address: str) -> bytes:
        server = await curio.spawn(HttpServer(address, handler, 10).run)
        await curio.sleep(0)
        async with await curio.open_connection(*address.split(":")) as sock:
            await sock.sendall(raw)
            response: bytes = await sock.recv(1000)
            async with aclosing(HttpClient(address)) as client:
                next_status, _ = await client.request("GET", "/x", None, 5.0)  # other requests are still served
        assert next_status == 200
        await server.cancel()
        return response

    with ReservedAddresses() as addresses:
        assert curio.run(main, addresses.reserve()).split(b" ")[1] == status


@pytest.mark.parametrize(("types", "status"), [(1, None), (60, None), (150, 422)])
def test_a_job_too_large_for_a_record_is_refused_permanently(types: int, status: int | None) -> None:
    """Such a job was refused with 503 on every retry, although the state service can never store its record."""
    state = StateLimits(200.0, 80.0, 16.0, 24, NextStateLimits(value_kb=2.0))
    deployment = Deployment(["a"], [Team("t")], Workers(1.0, 10.0, 30.0), state, CloudLimits(8.0, 5.0))
    names = [f"machine-type-{n}" for n in range(types)]
    view = SimpleNamespace(
        machine_types={name: wire.MachineType(name, 8.0, 0.0, 8.0, 1.0, 1.0, 1.0, ["a"]) for name in names}
    )
    feasibility = FeasibilityCheck(view, deployment)  # type: ignore[arg-type]
    spec = wire.submission_decoder.decode(msgspec.json.encode({**VALID_SUBMISSION, "builds": names}))
    refusal = feasibility.check(spec)
    assert (refusal.status if refusal else None) == status


LAYERS = ["transport", "protocol", "storage", "coordination", "recovery", "archive"]


def test_modules_import_only_from_their_own_or_lower_layers() -> None:
    for path in (ROOT / "spurarch").rglob("*.py"):
        layer = path.relative_to(ROOT / "spurarch").parts[0]
        if layer not in LAYERS:
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            names = [node.module or ""] if isinstance(node, ast.ImportFrom) else []
            names += [a.name for a in node.names] if isinstance(node, ast.Import) else []
            for name in names:
                parts = name.split(".")
                if parts[0] == "spurarch" and len(parts) > 1 and parts[1] in LAYERS:
                    assert LAYERS.index(parts[1]) <= LAYERS.index(layer), f"{path}: {name}"


PLATFORM = """
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


def test_platform_settings_ignore_unknown_fields(tmp_path: Path) -> None:
    path = tmp_path / "p.toml"
    path.write_text(PLATFORM)
    assert load_platform(str(path)).deployment.workers.lease_s == 10.0


@pytest.mark.parametrize(
    ("old", "new", "word"),
    [
        ("lease_s = 10.0", "lease_s = -1", "deployment.workers.lease_s"),
        ("lease_s = 10.0", "", "lease_s"),
        ('zones = ["a"]', "zones = []", "deployment.zones"),
        ('"127.0.0.1:1"', '"here"', "public_addr"),
        ("cancel_s = 30.0", "cancel_s = 9.0", "cancel_s"),
        ("[external]", "[external", "p.toml"),
    ],
)
def test_bad_platform_settings_name_the_field(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], old: str, new: str, word: str
) -> None:
    path = tmp_path / "p.toml"
    path.write_text(PLATFORM.replace(old, new))
    assert cli.main(["check", "--config", str(path)]) == 2
    error = capsys.readouterr().err
    assert word in error
    assert error.count("\n") == 1


@pytest.mark.parametrize("field", ["cpu = 0.01", "mem_mb = 12.0", "fd_limit = 20"])
def test_limits_of_a_machine_that_is_too_small_are_refused_with_the_name_of_the_field(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], field: str
) -> None:
    path = tmp_path / "p.toml"
    path.write_text(f"{PLATFORM}[deployment.limits]\n{field}\n")
    assert cli.main(["check", "--config", str(path)]) == 2
    error = capsys.readouterr().err
    assert f"deployment.limits.{field.split()[0]}" in error
    assert error.count("\n") == 1


def test_scarce_limits_of_a_machine_are_accepted_and_listed(tmp_path: Path) -> None:
    path = tmp_path / "p.toml"
    path.write_text(f"{PLATFORM}[deployment.limits]\ncpu = 0.05\nmem_mb = 32.0\nfd_limit = 100\n")
    limits = load_platform(str(path)).deployment.limits
    assert limits.below_recommended() == ["cpu = 0.05, below 0.1", "mem_mb = 32, below 64", "fd_limit = 100, below 256"]
    path.write_text(PLATFORM)
    assert load_platform(str(path)).deployment.limits.below_recommended() == []


@pytest.mark.parametrize(
    ("text", "word"),
    [
        ("((round-s 0))", "round-s"),
        ("((nothing 1))", "nothing"),
        ("((round-s 1) (round-s 2))", "stands twice"),
        ("(round-s)", "top level"),
        ("((", "S-expression"),
        ('((margin "x"))', "margin"),
    ],
)
def test_bad_tuning_names_the_setting(tmp_path: Path, text: str, word: str) -> None:
    path = tmp_path / "t.sexp"
    path.write_text(text)
    with pytest.raises(SettingsError, match=word):
        load_tuning(str(path))


def test_tuning_is_read(tmp_path: Path) -> None:
    path = tmp_path / "t.sexp"
    path.write_text("((round-s 20) (moves-per-round 1))")
    tuning = load_tuning(str(path))
    assert (tuning.round_s, tuning.moves_per_round) == (20.0, 1)


def test_effective_settings_are_printed(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "p.toml"
    path.write_text(PLATFORM)
    assert cli.main(["settings", "--config", str(path)]) == 0
    assert "round-s" in capsys.readouterr().out


def test_a_cancelled_server_releases_its_address() -> None:
    """A controller that restarted after a recovery could not listen on its former address."""

    async def handle(request: Request) -> Response:
        return Response(200)

    async def main(address: str) -> list[int]:
        statuses = []
        for _ in range(2):
            server = await curio.spawn(HttpServer(address, handle, 8).run)
            await curio.sleep(0.05)
            async with aclosing(HttpClient(address)) as client:
                statuses.append((await client.request("GET", "/x", None, 5.0))[0])
            await server.cancel()
        return statuses

    with ReservedAddresses() as addresses:
        assert curio.run(main, addresses.reserve()) == [200, 200]
