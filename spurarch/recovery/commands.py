"""The operator commands `spurarch recovery ...`."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Awaitable, Callable

import curio

from spurarch.protocol import wire
from spurarch.recovery import operators
from spurarch.recovery.operators import OperatorError
from spurarch.settings import SettingsError, load_platform
from spurarch.storage.errors import StoreUnavailableError
from spurarch.storage.store import Store
from spurarch.transport.network import Network

EXIT_USAGE, EXIT_FAILED = 2, 1
CONNECTIONS = 2
RATE_SHARE = 0.05  # share of the state service's rate limits, used in addition to the shares of the controllers


def add_parser(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    """Adds the `recovery` commands to the command line parser."""
    text = "look at histories of records, and settle what is in doubt"
    parser = commands.add_parser("recovery", help=text, description=text)
    actions = parser.add_subparsers(dest="action", metavar="ACTION", required=True)
    init = actions.add_parser("init", help="declare the first history of an installation")
    init.add_argument(
        "--answer-after-archive", action="store_true", help="tell users only what the archive holds already"
    )
    init.add_argument("--installation", default="", metavar="NAME", help="as in the controllers' settings")
    init.add_argument("--adopt", action="store_true", help="records that are there already are whole")
    status = actions.add_parser("status", help="which history is in force, and how far it is archived")
    doubts = actions.add_parser("doubts", help="what can't be known since the records were rebuilt")
    settle = actions.add_parser("settle", help="decide what is in doubt")
    target = settle.add_mutually_exclusive_group(required=True)
    target.add_argument("--job", metavar="REF")
    target.add_argument("--unknown-jobs", action="store_true", help="jobs without a record were never accepted")
    settle.add_argument("--as", dest="state", choices=[wire.DONE, wire.CANCELLED])
    purge = actions.add_parser("purge", help="delete what earlier histories left in the state service")
    for action in (init, status, doubts, settle, purge):
        action.add_argument("--config", required=True, metavar="FILE", help="the platform's TOML file")


def run_command(args: argparse.Namespace) -> int:
    """Executes a `recovery` command and returns its exit code."""
    actions: dict[str, Callable[[Store, argparse.Namespace], Awaitable[None]]] = {
        "init": _init,
        "status": _print_status,
        "doubts": _print_unresolved,
        "settle": _resolve,
        "purge": _purge,
    }
    try:
        platform = load_platform(args.config)
        store = Store(Network().client(platform.external.state, CONNECTIONS), platform.deployment.state, 1)
        store.rates.set_shares(RATE_SHARE, RATE_SHARE)
        curio.run(actions[args.action], store, args)
    except (SettingsError, OperatorError) as err:
        print(f"spurarch: {err}", file=sys.stderr)
        return EXIT_USAGE
    except StoreUnavailableError as err:
        print(f"spurarch: state service: {err}", file=sys.stderr)
        return EXIT_FAILED
    return 0


async def _init(store: Store, args: argparse.Namespace) -> None:
    history = await operators.declare_first_history(store, args.adopt, args.answer_after_archive, args.installation)
    print(f"history {history.name} is open")


async def _print_status(store: Store, args: argparse.Namespace) -> None:
    status = await operators.read_status(store)
    if status.history is None:
        print("no history: a new installation needs `recovery init`, a wiped one is rebuilt by its controllers")
    else:
        state = "open" if status.is_open else "sealed"
        print(f"history {status.history.number} ({status.history.name}): {state}, revision {status.revision}")
        print(
            "jobs without a record: "
            + ("may have been accepted" if status.history.jobs_may_be_missing else "never accepted")
        )
    if status.archived is not None:
        print(f"archived: history {status.archived.name} up to revision {status.archived.revision}")
    else:
        print("archived: nothing yet")
    if status.claim is not None:
        claim = status.claim
        print(
            f"last rebuilding: {claim.name} by {claim.node}, {claim.step},"
            f" epoch {claim.epoch}, beat {claim.heartbeat_number}"
        )
    print(f"in doubt: {len(status.unresolved)}")


async def _print_unresolved(store: Store, args: argparse.Namespace) -> None:
    status = await operators.read_status(store)
    for unresolved in status.unresolved:
        print(f"{unresolved.job}\t{unresolved.kind}\t{unresolved.detail}")


async def _purge(store: Store, args: argparse.Namespace) -> None:
    print(f"{await operators.purge(store)} keys deleted")


async def _resolve(store: Store, args: argparse.Namespace) -> None:
    if args.unknown_jobs:
        await operators.resolve_unknown_jobs(store)
        return
    if args.state is None:
        raise OperatorError("--job needs --as")
    await operators.resolve_job(store, args.job, args.state)
