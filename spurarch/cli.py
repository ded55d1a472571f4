"""The command line.

The platform starts a controller by `--config FILE` alone. This imports only what a controller needs, so that it starts
fast. All other command lines also import the modules that define the operators' commands.
"""

from __future__ import annotations

import enum
import logging
import os
import sys
from typing import TYPE_CHECKING, NamedTuple

from spurarch import __version__
from spurarch.settings import Platform, SettingsError, Tuning, load_platform, load_tuning

if TYPE_CHECKING:
    import argparse

    from spurarch.coordination.controller import Controller

LOG_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}
REQUEST_TIMEOUT_S = 5.0
FIRST_ERROR_STATUS = 400
GC_GENERATION_0_THRESHOLD = 20_000


class ExitCode(enum.IntEnum):
    """Exit codes of all commands."""

    SUCCESS = 0
    FAILED = 1
    USAGE = 2


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of all commands. Without a command, `--config FILE` runs a controller."""
    import argparse

    parser = argparse.ArgumentParser(prog="spurarch", description="A cluster scheduler run by a few controllers.")
    parser.add_argument("--version", action="version", version=f"spurarch {__version__}")
    _add_settings_options(parser, required=False)
    commands = parser.add_subparsers(dest="command", metavar="COMMAND")
    for name, text in (
        ("serve", "run a controller (the default)"),
        ("check", "check settings and exit"),
        ("settings", "print the settings in force"),
    ):
        _add_settings_options(commands.add_parser(name, help=text, description=text), required=True)
    submit = commands.add_parser("submit", help="submit a job from a JSON file, or - for standard input")
    submit.add_argument("file")
    show = commands.add_parser("show", help="show a job")
    cancel = commands.add_parser("cancel", help="cancel a job")
    for command in (show, cancel):
        command.add_argument("ref")
    for command in (submit, show, cancel):
        command.add_argument("--node", required=True, metavar="IP:PORT", help="a controller's public address")
    _add_operator_commands(commands)
    return parser


def _add_operator_commands(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Adds the operators' commands. The `archive` commands are left out if their libraries are not installed."""
    from spurarch.recovery import commands as recovery

    recovery.add_parser(commands)
    try:
        from spurarch.archive import commands as archive
    except ImportError:
        return  # the packages of requirements-operators.txt are not installed
    archive.add_parser(commands)


def _add_settings_options(parser: argparse.ArgumentParser, required: bool) -> None:
    parser.add_argument("--config", metavar="FILE", required=required, help="the platform's TOML file")
    parser.add_argument("--tuning", metavar="FILE", help="operators' settings, S-expressions")


def main(argv: list[str] | None = None) -> int:
    """Runs a command and returns its exit code."""
    arguments = sys.argv[1:] if argv is None else argv
    if len(arguments) == 2 and arguments[0] == "--config":
        # The platform starts controllers by this command line; a controller starts faster without building the parser.
        return _run_with_settings(None, arguments[1], None)
    parser = build_parser()
    args = parser.parse_args(arguments)
    if args.command in ("submit", "show", "cancel"):
        return _send_user_request(args)
    if args.command in ("archive", "recovery"):
        return _run_operator_command(args)
    if args.config is None:
        parser.error("--config FILE or a command is needed")
    return _run_with_settings(args.command, args.config, args.tuning)


def _run_with_settings(command: str | None, config: str, tuning_file: str | None) -> int:
    """Runs `command`, one of those that need the settings; None runs a controller."""
    try:
        platform, tuning = load_platform(config), load_tuning(tuning_file)
        level = _log_level()
    except SettingsError as err:
        print(f"spurarch: {err}", file=sys.stderr)
        return ExitCode.USAGE
    if command == "check":
        print("settings are good")
        return ExitCode.SUCCESS
    if command == "settings":
        return _print_settings(platform, tuning)
    return _serve(platform, tuning, level)


def _log_level() -> int:
    name = os.environ.get("LOG_LEVEL", "info").lower()
    if name not in LOG_LEVELS:
        raise SettingsError(f"environment: LOG_LEVEL: expected one of {', '.join(LOG_LEVELS)}")
    return LOG_LEVELS[name]


def load_controller() -> type[Controller]:
    """Imports only the modules that a controller needs to answer workers, and returns its class."""
    from spurarch.transport import curio_loader

    curio_loader.install()
    from spurarch.coordination.controller import Controller

    return Controller


def _serve(platform: Platform, tuning: Tuning, level: int) -> int:
    logging.basicConfig(level=level, stream=sys.stderr, format="%(levelname)s %(name)s: %(message)s")
    # curio warns if an operation completes just as its timeout expires, which is harmless and common on a busy core.
    logging.getLogger("curio").setLevel(logging.ERROR)
    scarce = platform.deployment.limits.below_recommended()
    if scarce:
        logging.getLogger(__name__).warning("deployment.limits: scarce: %s", "; ".join(scarce))
    controller = load_controller()
    import gc

    import curio

    # Records are long-lived and form no reference cycles; scanning them frequently would waste processor time.
    gc.set_threshold(GC_GENERATION_0_THRESHOLD, 20, 50)
    gc.freeze()
    gc.enable()

    try:
        if tuning.recovery:
            _serve_with_recovery(platform, tuning)
        curio.run(controller(platform, tuning).run)
    except KeyboardInterrupt:
        return ExitCode.SUCCESS
    except OSError as err:
        print(f"spurarch: {err}", file=sys.stderr)
        return ExitCode.FAILED
    return ExitCode.FAILED


def _run_operator_command(args: argparse.Namespace) -> int:
    """Runs a command of the operators and returns its exit code."""
    from importlib import import_module

    level = logging.WARNING if "LOG_LEVEL" not in os.environ and args.action != "run" else LOG_LEVELS["info"]
    logging.basicConfig(level=level, stream=sys.stderr, format="%(levelname)s %(name)s: %(message)s")
    result: int = import_module(f"spurarch.{args.command}.commands").run_command(args)
    return result


def _serve_with_recovery(platform: Platform, tuning: Tuning) -> None:
    """Runs one controller after another, without end.

    Each controller uses the history (see `spurarch.storage.history`) that is open when it starts.
    """
    import curio

    from spurarch.recovery.launch import controller_with_recovery

    controller: Controller | None = None
    while True:
        controller = controller_with_recovery(platform, tuning, previous=controller)
        curio.run(controller.run)


def _print_settings(platform: Platform, tuning: Tuning) -> int:
    import msgspec
    import sexpdata

    print(msgspec.json.format(msgspec.json.encode(platform)).decode())
    values = msgspec.to_builtins(tuning)
    print(sexpdata.dumps([[sexpdata.Symbol(name), value] for name, value in values.items()]))
    return ExitCode.SUCCESS


def _read_submission(path: str) -> bytes:
    """Returns a job's JSON from a file, or from standard input if `path` is `-`."""
    if path == "-":
        return sys.stdin.buffer.read()
    with open(path, "rb") as file:
        return file.read()


class _UserRequest(NamedTuple):
    """An HTTP request that a command sends for a user."""

    method: str
    target: str
    body: bytes | None


def _build_user_request(args: argparse.Namespace) -> _UserRequest:
    """Returns the request of a command. Raises OSError if its file can't be read."""
    from spurarch.protocol import wire

    if args.command == "submit":
        return _UserRequest("POST", wire.PATH_JOBS, _read_submission(args.file))
    if args.command == "show":
        return _UserRequest("GET", f"{wire.PATH_JOBS}/{args.ref}", None)
    return _UserRequest("POST", f"{wire.PATH_JOBS}/{args.ref}/{wire.PATH_CANCEL}", b"{}")


def _send_user_request(args: argparse.Namespace) -> int:
    """Sends a user's request to a controller, prints the response and returns the exit code."""
    import curio

    from spurarch.transport.http import HttpClient, NoAnswerError

    try:
        request = _build_user_request(args)
    except OSError as err:
        print(f"spurarch: {args.file}: {err.strerror}", file=sys.stderr)
        return ExitCode.USAGE

    async def call() -> tuple[int, bytes]:
        client = HttpClient(args.node)
        try:
            return await client.request(request.method, request.target, request.body, REQUEST_TIMEOUT_S)
        finally:
            await client.aclose()

    try:
        status, answer = curio.run(call)
    except (NoAnswerError, ValueError) as err:
        print(f"spurarch: {args.node}: {err}", file=sys.stderr)
        return ExitCode.FAILED
    print(answer.decode(errors="replace"))
    if status >= FIRST_ERROR_STATUS:
        print(f"spurarch: status {status}", file=sys.stderr)
    return ExitCode.SUCCESS if status < FIRST_ERROR_STATUS else ExitCode.FAILED
