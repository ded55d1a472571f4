"""The `spurarch archive` commands, which run on an operators' machine with a disk."""

from __future__ import annotations

import argparse
import logging
import sys
from pathlib import Path

import curio

from spurarch.archive.directory import (
    ArchiveBusyError,
    EmptyArchiveError,
    list_files,
    list_history_directories,
    lock_archive,
    prune,
)
from spurarch.archive.follower import Follower, OtherInstallationError
from spurarch.archive.format import DamagedFileError
from spurarch.archive.progress import RivalArchiverError
from spurarch.archive.reader import read_state, verify
from spurarch.archive.server import ArchiveServer, history_record
from spurarch.archive.state import ArchivedState
from spurarch.settings import Platform, SettingsError, load_platform
from spurarch.storage.store import Store
from spurarch.transport.network import Network

log = logging.getLogger(__name__)

EXIT_USAGE, EXIT_FAILURE = 2, 1
STORE_CONNECTIONS = 4
SERVER_CONNECTIONS = 64
RATE_SHARE = 0.1  # of the state service's rate limits, in addition to the controllers' shares


def add_parser(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Adds the `archive` command and its actions to the command line."""
    text = "keep, check and read the archive of the state service's data"
    parser = commands.add_parser("archive", help=text, description=text)
    actions = parser.add_subparsers(dest="action", metavar="ACTION", required=True)
    run = actions.add_parser("run", help="follow the state service, and serve what is archived to controllers")
    run.add_argument("--config", required=True, metavar="FILE", help="the platform's TOML file")
    run.add_argument("--installation", default="", metavar="NAME", help="as in the controllers' settings")
    serving = actions.add_parser("serve", help="serve an archive as of a revision, without following the state service")
    serving.add_argument("--revision", type=int, help="as of this revision; the newest if left out")
    for action in (run, serving):
        action.add_argument("--listen", required=True, metavar="IP:PORT", help="where controllers ask for records")
    show = actions.add_parser("show", help="print records, newest or as of a revision, a line of JSON each")
    show.add_argument("--revision", type=int, help="as of this revision")
    show.add_argument("--prefix", default="", help="only keys that begin with this")
    listing = actions.add_parser("list", help="list histories and files")
    check = actions.add_parser("verify", help="read every file; exit code 2 if one can't be trusted")
    pruning = actions.add_parser("prune", help="remove what lies before the newest snapshots of each history")
    pruning.add_argument("--keep", type=int, default=2, metavar="N", help="snapshots to keep (2)")
    for action in (run, serving, show, listing, check, pruning):
        action.add_argument("--directory", required=True, type=Path, metavar="DIR")
    for action in (serving, show, check):
        action.add_argument("--history", help="a history's name; the newest if left out")


def run_command(args: argparse.Namespace) -> int:
    """Runs an `archive` action and returns its exit code: 0, `EXIT_FAILURE` or `EXIT_USAGE`."""
    actions = {"run": _run, "serve": _serve, "show": _show, "list": _list, "verify": _verify, "prune": _prune}
    try:
        return actions[args.action](args)
    except (DamagedFileError, EmptyArchiveError, ArchiveBusyError, SettingsError, OtherInstallationError) as err:
        print(f"spurarch: {err}", file=sys.stderr)
        return EXIT_USAGE
    except RivalArchiverError as err:
        print(f"spurarch: {err}", file=sys.stderr)
        return EXIT_FAILURE
    except OSError as err:
        print(f"spurarch: {err.filename or args.directory}: {err.strerror or err}", file=sys.stderr)
        return EXIT_FAILURE


def read_newest_state(root: Path) -> ArchivedState | None:
    """Returns the newest state of the newest history on disk; None if there is none.

    Raises `DamagedFileError`.
    """
    directories = list_history_directories(root)
    try:
        return read_state(directories[-1]) if directories else None
    except EmptyArchiveError:
        return None


def read_history_state(root: Path, name: str) -> ArchivedState | None:
    """Returns the newest state of the named history; None if it isn't archived or can't be read."""
    directories = [path for path in list_history_directories(root) if path.name.endswith(f"-{name}")] if name else []
    try:
        return read_state(directories[-1]) if directories else None
    except (EmptyArchiveError, DamagedFileError) as err:
        log.error("archived history unreadable history=%s error=%s", name, err)
        return None


async def serve(
    platform: Platform, root: Path, listen: str, network: Network | None = None, installation: str = ""
) -> None:
    """Archives the state service's records and serves them to controllers, until cancelled.

    Raises `OtherInstallationError`, `RivalArchiverError`, `DamagedFileError` or `OSError`.
    """
    network = network or Network()
    limits = platform.deployment.state
    store = Store(network.client(platform.external.state, STORE_CONNECTIONS), limits, 1)
    store.rates.set_shares(RATE_SHARE, RATE_SHARE)
    previous = read_newest_state(root)
    if previous is not None and (archived := history_record(previous).installation) != installation:
        raise OtherInstallationError(f"{root}: the archive is of installation {archived!r}, not {installation!r}")
    follower = Follower(store, root, previous, installation)
    server = ArchiveServer(lambda: follower.state, lambda name: read_history_state(root, name))
    async with curio.TaskGroup(wait=any) as group:
        await group.spawn(network.server(listen, server.handle, SERVER_CONNECTIONS).run)
        following = await group.spawn(follower.run)
        async for done in group:
            if done.exception is not None:
                raise done.exception
            if done is following:
                return


def _run(args: argparse.Namespace) -> int:
    platform = load_platform(args.config)
    with lock_archive(args.directory):
        try:
            curio.run(serve, platform, args.directory, args.listen, None, args.installation)
        except KeyboardInterrupt:
            return 0
    return EXIT_FAILURE


def _serve(args: argparse.Namespace) -> int:
    """Serves one fixed state, from which controllers that start with an empty state service rebuild the records."""
    state = read_state(_selected_history(args), args.revision)
    server = ArchiveServer(lambda: state, lambda _name: None)
    print(f"serving history {state.history} as of revision {state.revision}", flush=True)
    try:
        curio.run(Network().server(args.listen, server.handle, SERVER_CONNECTIONS).run)
    except KeyboardInterrupt:
        return 0
    return EXIT_FAILURE


def _selected_history(args: argparse.Namespace) -> Path:
    """Returns the directory of the history named by `--history`, else of the newest. Raises `EmptyArchiveError`."""
    directories: list[Path] = list_history_directories(args.directory)
    if args.history:
        directories = [path for path in directories if path.name.endswith(f"-{args.history}")]
    if not directories:
        raise EmptyArchiveError(f"{args.directory}: no such history" if args.history else f"{args.directory}: empty")
    return directories[-1]


def _show(args: argparse.Namespace) -> int:
    state = read_state(_selected_history(args), args.revision)
    print(f"# history {state.history}, revision {state.revision}, {len(state.records)} records")
    for key in sorted(state.records):
        if key.startswith(args.prefix):
            entry = state.records[key]
            print(f'{{"key":"{key}","revision":{entry.revision},"value":{(entry.value or b"null").decode()}}}')
    return 0


def _list(args: argparse.Namespace) -> int:
    for directory in list_history_directories(args.directory):
        print(directory.name)
        for file in list_files(directory):
            size = file.path.stat().st_size
            print(f"  {file.path.name}  {file.header.kind.value} from revision {file.header.revision}, {size} bytes")
    return 0


def _verify(args: argparse.Namespace) -> int:
    state = verify(_selected_history(args))
    print(f"history {state.history} is good up to revision {state.revision}: {len(state.records)} records")
    return 0


def _prune(args: argparse.Namespace) -> int:
    with lock_archive(args.directory):
        for directory in list_history_directories(args.directory):
            for path in prune(directory, max(1, args.keep)):
                print(f"removed {directory.name}/{path.name}")
    return 0
