"""Scenarios in which the state service loses data: controllers with recovery, an archiver, and losses."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import Any

import curio

from spurarch.archive import commands
from spurarch.coordination.controller import Controller
from spurarch.recovery.launch import controller_with_recovery
from spurarch.recovery.operators import declare_first_history, resolve_job
from spurarch.recovery.service import RecoveryService
from spurarch.storage import records
from spurarch.storage.history import HISTORY
from spurarch.storage.store import Store
from tests.sim.fleet import Kind
from tests.sim.net import SimNetwork
from tests.sim.scenario import STATE, Play
from tests.sim.scenario_text import Scenario

ARCHIVE = "10.0.9.9:8090"


class RecoveryPlay(Play):
    """A play whose controllers have recovery.

    Three lines more may stand in a scenario: `archive off`, `answers archived`, and `without NODE...` for controllers
    of a version without it.
    """

    def __init__(self, scenario: Scenario, seed: int = 1) -> None:
        self._archive, self._without, self._archived_answers = True, set[str](), False
        super().__init__(scenario, seed)
        self.tuning.recovery = True
        self.tuning.archive_address = ARCHIVE if self._archive else ""
        self.wire.hosts[ARCHIVE] = "archive"
        self.saved: dict[str, tuple[int, dict[str, Any]]] = {}
        self.archiver: Any = None
        self.archive_network: SimNetwork | None = None
        self.root: Path | None = None
        self._anew: set[str] = set()  # controllers that begin anew in the same process, at this moment
        self.recovered: list[str] = []  # controllers that began anew, in order

    def _set_up(self, words: list[str], kinds: list[Kind], machines: list[list[str]]) -> None:
        if words[0] == "archive":
            self._archive = words[1] != "off"
        elif words[0] == "answers":
            self._archived_answers = words[1] == "archived"
        elif words[0] == "without":
            self._without.update(words[1:])
        else:
            super()._set_up(words, kinds, machines)

    def controller(self, node: str, network: SimNetwork, boot: str, version: int) -> Controller:
        """With recovery, unless it is of a version that has none."""
        if node in self._without:
            return super().controller(node, network, boot, version)
        before = self.controllers.get(node) if node in self._anew else None
        return controller_with_recovery(self.platform(int(node[1:])), self.tuning, network, boot, before)

    def recovery(self, node: str) -> RecoveryService:
        """The recovery of a controller."""
        service = self.controllers[node]._recovery
        assert isinstance(service, RecoveryService)
        return service

    async def start(self, node: str) -> None:
        """Starts a controller, and once more whenever it ends to begin anew."""
        await super().start(node)
        if node not in self._without:
            await curio.spawn(self._begin_anew, node, self.running[node], daemon=True)

    async def _begin_anew(self, node: str, task: Any) -> None:
        """What the command line does when a controller's `run` ends."""
        await task.wait()
        if self.running.get(node) is task and not task.cancelled and not task.exception:
            self.recovered.append(node)
            await self.kill(node)
            self._anew.add(node)
            await self.start(node)
            self._anew.discard(node)

    def run(self) -> None:
        """Plays to the end, with a disk for the archive."""
        with tempfile.TemporaryDirectory() as directory:
            self.root = Path(directory)
            super().run()

    async def _main(self) -> None:
        network = SimNetwork(self.wire, "operator")
        store = Store(network.client(STATE, 1), self.platform(0).deployment.state, 1)
        await declare_first_history(store, False, self._archived_answers)
        if self._archive:
            await self.start_archiver()
        await super()._main()
        self.running.clear()  # what ends from here on does not begin anew

    async def start_archiver(self) -> None:
        """Starts the archiver, on the disk that it left."""
        assert self.root is not None
        self.archive_network = SimNetwork(self.wire, "archive")
        self.archiver = await curio.spawn(
            commands.serve, self.platform(0), self.root, ARCHIVE, self.archive_network, daemon=True
        )

    async def stop_archiver(self) -> None:
        """Ends the archiver without a word."""
        assert self.archive_network is not None
        self.archive_network.ended = True
        self.wire.handlers.pop(ARCHIVE, None)
        await self.archiver.cancel(blocking=False)

    async def _act(self, words: list[str]) -> None:
        action, args = words[0], words[1:]
        self.trouble_until = max(self.trouble_until, self.clock.now)
        if action == "wipe":
            self.store.wipe()
        elif action == "save":  # save NAME: the data as it is now
            self.saved[args[0]] = self.store.revision, dict(self.store.keys)
        elif action == "restore":  # restore NAME: the data goes back to that
            self.store.go_back_to(*self.saved[args[0]])
        elif action == "lose":  # lose PREFIX: only these keys are lost, and nothing says so
            for key in [key for key in self.store.keys if key.startswith(args[0])]:
                del self.store.keys[key]
        elif action == "repeat-all":  # every transaction so far arrives once more
            self.store.repeat_all(HISTORY)
        elif action == "settle":  # settle JOB STATE, as an operator
            network = SimNetwork(self.wire, "operator")
            store = Store(network.client(STATE, 1), self.platform(0).deployment.state, 1)
            await resolve_job(store, args[0], args[1])
        elif action == "stop-archiver":
            await self.stop_archiver()
        elif action == "start-archiver":
            await self.start_archiver()
        else:
            await super()._act(words)

    async def _watch_records(self) -> None:
        """The check of the base class reads the first history's keys, which stay as they were after a loss."""
        while True:
            await curio.sleep(3600)

    def _holds(self, words: list[str]) -> bool:
        kind, args = words[0], words[1:]
        if kind == "recovered":  # so many controllers began anew
            return len(self.recovered) == int(args[0])
        if kind == "answered":  # some user got that status
            return int(args[0]) in self.answers
        if kind == "began":  # began JOB COUNT: starts of all its tasks together
            starts = self.world.rules.starts
            return sum(n for task, n in starts.items() if task.startswith(args[0] + "/")) == int(args[1])
        if kind == "on-record":  # on-record JOB STATE: in the newest history
            return self.final(args[0]) == " ".join(args[1:])
        if kind == "never-told":  # never-told JOB STATE
            return args[1] not in self.told.get(args[0], [])
        return super()._holds(words)

    def final(self, job: str) -> str:
        """The final standing of a job in the history that is in force."""
        current = self.store.keys["history/current"][0]
        prefix = "" if current["number"] == 1 else f"h{current['number']}.{current['name']}/"
        value = self.store.keys.get(prefix + records.FINAL + job)
        return value[0]["state"] if value is not None else "none"
