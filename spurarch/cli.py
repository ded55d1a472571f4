"""The command line. Only what a command needs is imported, so that a controller starts fast."""

from __future__ import annotations

import logging
import os
import sys
from typing import TYPE_CHECKING

from spurarch import __version__
from spurarch.settings import Platform, SettingsError, Tuning, load_platform, load_tuning

if TYPE_CHECKING:
    import argparse

    from spurarch.coordination.controller import Controller

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}
USAGE, FAILED = 2, 1
GC_ALLOCATIONS = 20_000


def build_parser() -> argparse.ArgumentParser:
    """The parser of all commands. Without a command, `--config FILE` serves."""
    import argparse

    parser = argparse.ArgumentParser(prog="spurarch", description="A cluster scheduler run by a few controllers.")
    parser.add_argument("--version", action="version", version=f"spurarch {__version__}")
    _add_settings(parser, required=False)
    commands = parser.add_subparsers(dest="command", metavar="COMMAND")
    for name, text in (
        ("serve", "run a controller (the default)"),
        ("check", "check settings and exit"),
        ("settings", "print the settings in force"),
    ):
        _add_settings(commands.add_parser(name, help=text, description=text), required=True)
    submit = commands.add_parser("submit", help="submit a job from a JSON file, or - for standard input")
    submit.add_argument("file")
    show = commands.add_parser("show", help="show a job")
    cancel = commands.add_parser("cancel", help="cancel a job")
    for command in (show, cancel):
        command.add_argument("ref")
    for command in (submit, show, cancel):
        command.add_argument("--node", required=True, metavar="IP:PORT", help="a controller's public address")
    _add_operators(commands)
    return parser


def _add_operators(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Commands of operators' machines; those that need libraries of their own are left out where these are missing."""
    from spurarch.recovery import commands as recovery

    recovery.add_parser(commands)
    try:
        from spurarch.archive import commands as archive
    except ImportError:
        return  # requirements-operators.txt is not installed here
    archive.add_parser(commands)


def _add_settings(parser: argparse.ArgumentParser, required: bool) -> None:
    parser.add_argument("--config", metavar="FILE", required=required, help="the platform's TOML file")
    parser.add_argument("--tuning", metavar="FILE", help="operators' settings, S-expressions")


def main(argv: list[str] | None = None) -> int:
    """Runs a command; returns its exit code."""
    words = sys.argv[1:] if argv is None else argv
    if len(words) == 2 and words[0] == "--config":
        return _run(None, words[1], None)  # as the platform starts a controller: no parser has to be built for that
    parser = build_parser()
    args = parser.parse_args(words)
    if args.command in ("submit", "show", "cancel"):
        return _request(args)
    if args.command in ("archive", "recovery"):
        return _operate(args)
    if args.config is None:
        parser.error("--config FILE or a command is needed")
    return _run(args.command, args.config, args.tuning)


def _run(command: str | None, config: str, tuning_file: str | None) -> int:
    """Runs a command that needs the settings; without a name, a controller."""
    try:
        platform, tuning = load_platform(config), load_tuning(tuning_file)
        level = _level()
    except SettingsError as err:
        print(f"spurarch: {err}", file=sys.stderr)
        return USAGE
    if command == "check":
        print("settings are good")
        return 0
    if command == "settings":
        return _print_settings(platform, tuning)
    return _serve(platform, tuning, level)


def _level() -> int:
    name = os.environ.get("LOG_LEVEL", "info").lower()
    if name not in LEVELS:
        raise SettingsError(f"environment: LOG_LEVEL: expected one of {', '.join(LEVELS)}")
    return LEVELS[name]


def load_controller() -> type[Controller]:
    """Imports what a controller needs to answer workers, and nothing else."""
    from spurarch.transport import slim_curio

    slim_curio.install()
    from spurarch.coordination.controller import Controller

    return Controller


def _serve(platform: Platform, tuning: Tuning, level: int) -> int:
    logging.basicConfig(level=level, stream=sys.stderr, format="%(levelname)s %(name)s: %(message)s")
    # curio warns whenever a wait ends just as its limit does, which is harmless and common on a busy core.
    logging.getLogger("curio").setLevel(logging.ERROR)
    scarce = platform.deployment.limits.scarce()
    if scarce:
        logging.getLogger(__name__).warning("deployment.limits: scarce: %s", "; ".join(scarce))
    controller = load_controller()
    import gc

    import curio

    # Records live long and form no cycles; looking through all of them over and over is a large part of the processor.
    gc.set_threshold(GC_ALLOCATIONS, 20, 50)
    gc.freeze()
    gc.enable()

    try:
        if tuning.recovery:
            _serve_with_recovery(platform, tuning)
        curio.run(controller(platform, tuning).run)
    except KeyboardInterrupt:
        return 0
    except OSError as err:
        print(f"spurarch: {err}", file=sys.stderr)
        return FAILED
    return FAILED


def _operate(args: argparse.Namespace) -> int:
    """Runs an operators' command."""
    from importlib import import_module

    level = logging.WARNING if "LOG_LEVEL" not in os.environ and args.action != "run" else LEVELS["info"]
    logging.basicConfig(level=level, stream=sys.stderr, format="%(levelname)s %(name)s: %(message)s")
    result: int = import_module(f"spurarch.{args.command}.commands").run_command(args)
    return result


def _serve_with_recovery(platform: Platform, tuning: Tuning) -> None:
    """Runs controllers one after the other: each begins in the history of records that is in force by then."""
    import curio

    from spurarch.recovery.launch import controller_with_recovery

    controller: Controller | None = None
    while True:
        controller = controller_with_recovery(platform, tuning, before=controller)
        curio.run(controller.run)


def _print_settings(platform: Platform, tuning: Tuning) -> int:
    import msgspec
    import sexpdata

    print(msgspec.json.format(msgspec.json.encode(platform)).decode())
    values = msgspec.to_builtins(tuning)
    print(sexpdata.dumps([[sexpdata.Symbol(name), value] for name, value in values.items()]))
    return 0


def _read_submission(path: str) -> bytes:
    """A job's JSON from a file, or from standard input for `-`."""
    if path == "-":
        return sys.stdin.buffer.read()
    with open(path, "rb") as file:
        return file.read()


def _request(args: argparse.Namespace) -> int:
    import curio

    from spurarch.protocol import wire
    from spurarch.transport.http import HttpClient, NoAnswerError

    body: bytes | None = None
    if args.command == "submit":
        try:
            body = _read_submission(args.file)
        except OSError as err:
            print(f"spurarch: {args.file}: {err.strerror}", file=sys.stderr)
            return USAGE
        method, target = "POST", wire.PATH_JOBS
    elif args.command == "show":
        method, target = "GET", f"{wire.PATH_JOBS}/{args.ref}"
    else:
        method, target, body = "POST", f"{wire.PATH_JOBS}/{args.ref}/{wire.PATH_CANCEL}", b"{}"

    async def call() -> tuple[int, bytes]:
        return await HttpClient(args.node).request(method, target, body, 5.0)

    try:
        status, answer = curio.run(call)
    except (NoAnswerError, ValueError) as err:
        print(f"spurarch: {args.node}: {err}", file=sys.stderr)
        return FAILED
    print(answer.decode(errors="replace"))
    if status >= 400:
        print(f"spurarch: status {status}", file=sys.stderr)
    return 0 if status < 400 else FAILED
