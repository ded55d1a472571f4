"""The command line: commands and their options, exit codes, output and errors, and the requests that commands make."""

from __future__ import annotations

import subprocess
import sys
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, HTTPServer
from pathlib import Path

import pytest

from spurarch import cli
from tests.sim.addresses import ReservedAddresses
from tests.test_external_contract_settings import SHORT_PLATFORM

ROOT = Path(__file__).parent.parent
PROGRAM = [sys.executable, "-c", "import sys; from spurarch.cli import main; sys.exit(main())"]


class CannedServer(HTTPServer):
    """Simulated controller or state service: returns literal responses by method and target, and records requests."""

    def __init__(self, answers: dict[str, tuple[int, bytes]]) -> None:
        super().__init__(("127.0.0.1", 0), CannedHandler)
        self.answers = answers
        self.asked: list[tuple[str, bytes]] = []

    @property
    def address(self) -> str:
        """Listen address, as host:port."""
        return f"127.0.0.1:{self.server_address[1]}"


class CannedHandler(BaseHTTPRequestHandler):
    """Handles the requests of one connection to a `CannedServer`."""

    def handle_any(self) -> None:
        """Records the request and sends the response for it."""
        server = self.server
        assert isinstance(server, CannedServer)
        body = self.rfile.read(int(self.headers.get("Content-Length", "0")))
        line = f"{self.command} {self.path}"
        server.asked.append((line, body))
        status, answer = server.answers.get(line, (404, b'{"ledger":9}'))
        self.send_response(status)
        self.send_header("Content-Length", str(len(answer)))
        self.end_headers()
        self.wfile.write(answer)

    do_GET = do_POST = handle_any  # noqa: N815 (http.server calls these names)

    def log_message(self, format: str, *args: object) -> None:
        """Suppresses the request log."""


@contextmanager
def serving(answers: dict[str, tuple[int, bytes]]) -> Iterator[CannedServer]:
    """Runs a `CannedServer` within the context."""
    with CannedServer(answers) as server:
        thread = threading.Thread(target=server.serve_forever, args=(0.01,))
        thread.start()
        try:
            yield server
        finally:
            server.shutdown()
            thread.join()


def usage_of(words: list[str], capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch) -> str:
    """Returns the first line of a command's help: its name, options and arguments."""
    monkeypatch.setenv("COLUMNS", "400")
    with pytest.raises(SystemExit) as ended:
        cli.main([*words, "--help"])
    assert ended.value.code == 0
    return capsys.readouterr().out.splitlines()[0]


@pytest.mark.parametrize(
    ("words", "usage"),
    [
        ("", "usage: spurarch [-h] [--version] [--config FILE] [--tuning FILE] COMMAND ..."),
        ("serve", "usage: spurarch serve [-h] --config FILE [--tuning FILE]"),
        ("check", "usage: spurarch check [-h] --config FILE [--tuning FILE]"),
        ("settings", "usage: spurarch settings [-h] --config FILE [--tuning FILE]"),
        ("submit", "usage: spurarch submit [-h] --node IP:PORT file"),
        ("show", "usage: spurarch show [-h] --node IP:PORT ref"),
        ("cancel", "usage: spurarch cancel [-h] --node IP:PORT ref"),
        ("recovery", "usage: spurarch recovery [-h] ACTION ..."),
        (
            "recovery init",
            "usage: spurarch recovery init [-h] [--answer-after-archive] [--installation NAME] [--adopt] --config FILE",
        ),
        ("recovery status", "usage: spurarch recovery status [-h] --config FILE"),
        ("recovery doubts", "usage: spurarch recovery doubts [-h] --config FILE"),
        (
            "recovery settle",
            "usage: spurarch recovery settle [-h] (--job REF | --unknown-jobs) [--as {done,aborted}] --config FILE",
        ),
        ("recovery purge", "usage: spurarch recovery purge [-h] --config FILE"),
        ("archive", "usage: spurarch archive [-h] ACTION ..."),
        (
            "archive run",
            "usage: spurarch archive run [-h] --config FILE [--installation NAME] --listen IP:PORT --directory DIR",
        ),
        (
            "archive serve",
            "usage: spurarch archive serve [-h] [--revision REVISION] --listen IP:PORT --directory DIR"
            " [--history HISTORY]",
        ),
        (
            "archive show",
            "usage: spurarch archive show [-h] [--revision REVISION] [--prefix PREFIX] --directory DIR"
            " [--history HISTORY]",
        ),
        ("archive list", "usage: spurarch archive list [-h] --directory DIR"),
        ("archive verify", "usage: spurarch archive verify [-h] --directory DIR [--history HISTORY]"),
        ("archive prune", "usage: spurarch archive prune [-h] [--keep N] --directory DIR"),
    ],
)
def test_a_command_takes_exactly_these_options(
    words: str, usage: str, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    assert usage_of(words.split(), capsys, monkeypatch) == usage


@pytest.mark.parametrize(
    ("words", "commands"),
    [
        ("nonsense", "'serve', 'check', 'settings', 'submit', 'show', 'cancel', 'recovery', 'archive'"),
        ("recovery nonsense", "'init', 'status', 'doubts', 'settle', 'purge'"),
        ("archive nonsense", "'run', 'serve', 'show', 'list', 'verify', 'prune'"),
    ],
)
def test_the_commands_are_exactly_these(words: str, commands: str, capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit) as ended:
        cli.main(words.split())
    assert ended.value.code == 2
    assert f"invalid choice: 'nonsense' (choose from {commands})" in capsys.readouterr().err


def test_the_version_is_printed(capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit) as ended:
        cli.main(["--version"])
    assert (ended.value.code, capsys.readouterr().out) == (0, "spurarch 0.1.0\n")


@pytest.mark.parametrize(
    ("words", "error"),
    [
        ("", "spurarch: error: --config FILE or a command is needed"),
        ("check", "spurarch check: error: the following arguments are required: --config"),
        ("--config", "spurarch: error: argument --config: expected one argument"),
        ("show job-1", "spurarch show: error: the following arguments are required: --node"),
        ("archive", "spurarch archive: error: the following arguments are required: ACTION"),
        ("recovery", "spurarch recovery: error: the following arguments are required: ACTION"),
        (
            "recovery settle --config x",
            "spurarch recovery settle: error: one of the arguments --job --unknown-jobs is required",
        ),
    ],
)
def test_wrong_usage_ends_with_2_and_says_why(words: str, error: str, capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit) as ended:
        cli.main(words.split())
    assert ended.value.code == 2
    assert capsys.readouterr().err.splitlines()[-1] == error


@pytest.mark.parametrize(
    "words",
    [
        "--config {file}",
        "serve --config {file}",
        "check --config {file}",
        "settings --config {file}",
        "recovery status --config {file}",
    ],
)
def test_a_file_that_is_not_there_ends_with_2_and_says_so(
    words: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "none.toml"
    assert cli.main(words.format(file=file).split()) == 2
    assert capsys.readouterr() == ("", f"spurarch: {file}: No such file or directory\n")


def test_an_unknown_level_of_the_log_ends_with_2_and_says_so(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    file = tmp_path / "p.toml"
    file.write_text(SHORT_PLATFORM)
    monkeypatch.setenv("LOG_LEVEL", "loud")
    assert cli.main(["check", "--config", str(file)]) == 2
    assert capsys.readouterr().err == "spurarch: environment: LOG_LEVEL: expected one of error, info, debug\n"


def test_a_controller_whose_address_is_taken_ends_with_1_and_says_so(tmp_path: Path) -> None:
    file = tmp_path / "p.toml"
    with serving({}) as taken, ReservedAddresses() as addresses:
        file.write_text(
            SHORT_PLATFORM.replace("127.0.0.1:1", taken.address).replace("127.0.0.1:2", addresses.reserve())
        )
        ended = subprocess.run(
            [*PROGRAM, "--config", str(file)], cwd=ROOT, capture_output=True, timeout=60, check=False
        )
    assert (ended.returncode, ended.stdout) == (1, b"")
    assert ended.stderr.splitlines()[-1].startswith(b"spurarch: [Errno 98] ")


def test_a_controller_with_scarce_limits_says_so_on_its_first_line(tmp_path: Path) -> None:
    file = tmp_path / "p.toml"
    with serving({}) as taken, ReservedAddresses() as addresses:
        file.write_text(
            SHORT_PLATFORM.replace("127.0.0.1:1", taken.address).replace("127.0.0.1:2", addresses.reserve())
            + "[deployment.limits]\ncpu = 0.05\nmem_mb = 32.0\nfd_limit = 100\n"
        )
        ended = subprocess.run(
            [*PROGRAM, "--config", str(file)], cwd=ROOT, capture_output=True, timeout=60, check=False
        )
    assert ended.returncode == 1
    assert ended.stderr.splitlines()[0] == (
        b"WARNING spurarch.cli: deployment.limits: scarce: "
        b"cpu = 0.05, below 0.1; mem_mb = 32, below 64; fd_limit = 100, below 256"
    )


# Users' commands


@pytest.mark.parametrize(
    ("words", "line", "body"),
    [
        ("submit {file}", "POST /submissions", b'{"ref":"job-1"}\n'),
        ("show job-1", "GET /submissions/job-1", b""),
        ("cancel job-1", "POST /submissions/job-1/cancel", b"{}"),
    ],
    ids=["submit", "show", "cancel"],
)
@pytest.mark.parametrize(
    ("status", "code", "error"),
    [(200, 0, ""), (201, 0, ""), (404, 1, "spurarch: status 404\n"), (503, 1, "spurarch: status 503\n")],
)
def test_a_users_command_makes_its_request_and_prints_the_answer(
    words: str,
    line: str,
    body: bytes,
    status: int,
    code: int,
    error: str,
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    file = tmp_path / "job.json"
    file.write_bytes(b'{"ref":"job-1"}\n')

    with serving({line: (status, b'{"standing":"pending"}')}) as controller:
        ended = cli.main([*words.format(file=file).split(), "--node", controller.address])

    assert controller.asked == [(line, body)]
    assert (ended, capsys.readouterr()) == (code, ('{"standing":"pending"}\n', error))


@pytest.mark.parametrize(
    ("words", "code", "error"),
    [
        (["submit", "none.json", "--node", "127.0.0.1:1"], 2, "spurarch: none.json: No such file or directory\n"),
        (["show", "a b", "--node", "127.0.0.1:1"], 1, "spurarch: 127.0.0.1:1: invalid target '/submissions/a b'\n"),
        (["show", "job-1", "--node", "x"], 1, "spurarch: x: invalid literal for int() with base 10: 'x'\n"),
        (
            ["show", "job-1", "--node", "127.0.0.1:1"],
            1,
            "spurarch: 127.0.0.1:1: ConnectionRefusedError(111, \"Connect call failed ('127.0.0.1', 1)\")\n",
        ),
    ],
    ids=["no-file", "bad-job", "bad-address", "nobody-there"],
)
def test_a_users_command_that_can_not_be_carried_out_says_why(
    words: list[str], code: int, error: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert (cli.main(words), capsys.readouterr()) == (code, ("", error))


# Operators' commands

HISTORY = b'{"name":"9f2c","number":2,"epoch":40,"packed":0,"uncertain":true}'
OPEN_HISTORY: dict[str, tuple[int, bytes]] = {
    "GET /kv?prefix=history/current&most=1000": (
        200,
        b'{"items":[{"key":"history/current","value":' + HISTORY + b',"stamp":50}],"ledger":431}',
    ),
    "GET /kv/history/current": (200, b'{"key":"history/current","value":' + HISTORY + b',"stamp":50}'),
    "GET /kv/history/open/9f2c": (200, b'{"key":"history/open/9f2c","value":{"number":2},"stamp":40}'),
    "GET /kv/history/archived": (
        200,
        b'{"key":"history/archived","value":{"name":"9f2c","revision":430,"archiver":"x"},"stamp":430}',
    ),
    "GET /kv/history/claim": (
        200,
        b'{"key":"history/claim","value":{"node":"n0","boot":"00ff","name":"9f2c","beat":7,"epoch":40,'
        b'"step":"opened"},"stamp":50}',
    ),
    "GET /kv?prefix=h2.9f2c/doubt/&most=1000": (
        200,
        b'{"items":[{"key":"h2.9f2c/doubt/job-1","value":{"job":"job-1","kind":"outcome","detail":"why"},"stamp":60}],'
        b'"ledger":431}',
    ),
    "GET /kv/h2.9f2c/doubt/job-1": (
        200,
        b'{"key":"h2.9f2c/doubt/job-1","value":{"job":"job-1","kind":"outcome","detail":"why"},"stamp":60}',
    ),
    "GET /kv/h2.9f2c/final/job-1": (
        200,
        b'{"key":"h2.9f2c/final/job-1","value":{"state":"in doubt","tasks":3},"stamp":61}',
    ),
    "GET /kv?prefix=&most=1000": (
        200,
        b'{"items":[{"key":"final/job-1","value":{},"stamp":1},{"key":"h2.9f2c/final/job-1","value":{},"stamp":61},'
        b'{"key":"live/leader","value":{},"stamp":2},{"key":"somebody/else","value":{},"stamp":3}],"ledger":431}',
    ),
    "POST /txn": (200, b'{"ledger":432}'),
}
NO_HISTORY: dict[str, tuple[int, bytes]] = {
    "GET /kv?prefix=history/current&most=1000": (200, b'{"items":[],"ledger":3}'),
    "GET /kv?prefix=live/&most=1000": (200, b'{"items":[],"ledger":3}'),
    "POST /txn": (200, b'{"ledger":4}'),
}


def operate(words: str, answers: dict[str, tuple[int, bytes]], directory: Path) -> tuple[int, list[bytes]]:
    """Runs a recovery command on a simulated state service; returns its exit code and the bodies of transactions."""
    with serving(answers) as state_service:
        file = directory / "p.toml"
        file.write_text(SHORT_PLATFORM.replace("127.0.0.1:4", state_service.address))
        code = cli.main(["recovery", *words.split(), "--config", str(file)])
    return code, [body for line, body in state_service.asked if line == "POST /txn"]


STATUS = """\
history 2 (9f2c): open, revision 431
jobs without a record: may have been accepted
archived: history 9f2c up to revision 430
last rebuilding: 9f2c by n0, opened, epoch 40, beat 7
in doubt: 1
"""
NO_STATUS = """\
no history: a new installation needs `recovery init`, a wiped one is rebuilt by its controllers
archived: nothing yet
in doubt: 0
"""


@pytest.mark.parametrize(
    ("words", "output", "transactions"),
    [
        ("status", STATUS, []),
        ("doubts", "job-1\toutcome\twhy\n", []),
        (
            "settle --job job-1 --as done",
            "",
            [
                b'{"guards":[{"key":"history/open/9f2c","stamp":40},{"key":"h2.9f2c/final/job-1","stamp":61},'
                b'{"key":"h2.9f2c/doubt/job-1","stamp":60}],'
                b'"then":[{"write":"h2.9f2c/final/job-1","value":{"state":"done","tasks":3}},'
                b'{"drop":"h2.9f2c/doubt/job-1"}]}'
            ],
        ),
        (
            "settle --unknown-jobs",
            "",
            [
                b'{"guards":[{"key":"history/open/9f2c","stamp":40},{"key":"history/current","stamp":50}],'
                b'"then":[{"write":"history/current","value":{"name":"9f2c","number":2,"epoch":40,"packed":0,'
                b'"uncertain":false,"parent":"","archived_answers":false,"installation":"","seeded":false}}]}'
            ],
        ),
        (
            "purge",
            "1 keys deleted\n",
            [b'{"guards":[{"key":"history/open/9f2c","stamp":40}],"then":[{"drop":"final/job-1"}]}'],
        ),
    ],
    ids=["status", "doubts", "settle-job", "settle-unknown-jobs", "purge"],
)
def test_an_operators_command_prints_and_changes_exactly_this(
    words: str, output: str, transactions: list[bytes], tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    code, made = operate(words, OPEN_HISTORY, tmp_path)
    assert (code, capsys.readouterr(), made) == (0, (output, ""), transactions)


def test_a_first_history_is_declared_in_exactly_this_transaction(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    code, [made] = operate("init --answer-after-archive --installation site", NO_HISTORY, tmp_path)
    output = capsys.readouterr().out
    name = output.removeprefix("history ").removesuffix(" is open\n")
    assert code == 0
    assert (len(name), output) == (12, f"history {name} is open\n")
    assert made.replace(name.encode(), b"NAME") == (
        b'{"guards":[{"key":"history/current","stamp":0},{"key":"history/claim","stamp":0}],'
        b'"then":[{"write":"history/current","value":{"name":"NAME","number":1,"epoch":0,"packed":0,"uncertain":false,'
        b'"parent":"","archived_answers":true,"installation":"site","seeded":false}},'
        b'{"write":"history/open/NAME","value":{"number":1}}]}'
    )


def test_the_status_of_a_state_service_without_a_history_is_printed(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert operate("status", NO_HISTORY, tmp_path) == (0, [])
    assert capsys.readouterr().out == NO_STATUS


@pytest.mark.parametrize(
    ("words", "changed", "code", "error"),
    [
        ("init", {}, 2, "spurarch: there is a history already (recovery status)\n"),
        ("settle --job job-1", {}, 2, "spurarch: --job needs --as\n"),
        ("settle --job job-2 --as done", {}, 2, "spurarch: job-2 is not in doubt\n"),
        (
            "settle --job job-1 --as done",
            {"GET /kv/h2.9f2c/final/job-1": (200, b'{"key":"k","value":{"state":"aborted","tasks":3},"stamp":61}')},
            2,
            "spurarch: job-1 is aborted on record\n",
        ),
        (
            "purge",
            {"GET /kv/history/open/9f2c": (404, b'{"ledger":431}')},
            2,
            "spurarch: the records are being rebuilt\n",
        ),
        (
            "purge",
            {"GET /kv/history/current": (404, b'{"ledger":431}')},
            2,
            "spurarch: there is no history (recovery init)\n",
        ),
        (
            "purge",
            {"POST /txn": (503, b"{}")},
            2,
            "spurarch: not done (refused): look at `recovery status`, and try again\n",
        ),
        (
            "settle --unknown-jobs",
            {
                "GET /kv/history/current": (
                    200,
                    b'{"key":"history/current","value":{"name":"9f2c","number":2},"stamp":50}',
                )
            },
            2,
            "spurarch: nothing is uncertain\n",
        ),
        (
            "status",
            {"GET /kv?prefix=history/current&most=1000": (503, b"{}")},
            1,
            "spurarch: state service: 503\n",
        ),
    ],
    ids=["again", "no-state", "no-doubt", "other-end", "rebuilding", "no-history", "refused", "certain", "outage"],
)
def test_an_operators_command_that_is_refused_says_why_in_one_line(
    words: str,
    changed: dict[str, tuple[int, bytes]],
    code: int,
    error: str,
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    ended, _ = operate(words, {**OPEN_HISTORY, **changed}, tmp_path)
    assert (ended, capsys.readouterr()) == (code, ("", error))


def test_records_that_are_there_have_to_be_adopted(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    items = b'{"items":[{"key":"live/job/job-1","value":{},"stamp":2}],"ledger":3}'
    there = {**NO_HISTORY, "GET /kv?prefix=live/&most=1000": (200, items)}
    assert operate("init", there, tmp_path) == (2, [])
    assert capsys.readouterr().err == "spurarch: there are records already: --adopt declares them whole\n"
    assert operate("init --adopt", there, tmp_path)[0] == 0
