"""Plays scenarios in which the state service loses data: controllers with recovery, and an archiver.

Setup words beside those of scenario.py:

    archive off              there is no archiver
    answers archived         users get answers only once they are archived
    without NODE...          controllers of a version without recovery

Actions beside those of scenario.py:

    wipe                     all data is lost
    save NAME                keeps a copy of the data
    restore NAME             the data goes back to that copy
    lose PREFIX              the keys with this prefix are lost, without a new revision or a watch event
    repeat-all               all transactions so far are carried out again, without the check in scenario.py
    settle JOB STATE         an operator resolves the outcome of a job
    stop-archiver            the archiver's process is killed
    start-archiver           the archiver starts, on the directory that it left

Expectations beside those of scenario_checks.py:

    recovered N              N restarts of controllers in the same process, to join another history
    answered STATUS          a submission got this status code
    began JOB N              N starts of all tasks of the job together
    on-record JOB STATE      final state of the job in the current history, or `none`
    never-told JOB STATE     no answer to the job's user was this state
"""

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
from tests.sim.machine_type import MachineType
from tests.sim.net import SimNetwork
from tests.sim.scenario import STATE_ADDRESS, ScenarioRun
from tests.sim.scenario_text import Scenario

ARCHIVE = "10.0.9.9:8090"


class RecoveryScenarioRun(ScenarioRun):
    """A run of a scenario whose controllers have recovery."""

    def __init__(self, scenario: Scenario, seed: int = 1) -> None:
        self._has_archiver, self._without_recovery, self._answers_archived = True, set[str](), False
        super().__init__(scenario, seed)
        self.tuning.recovery = True
        self.tuning.archive_address = ARCHIVE if self._has_archiver else ""
        self.links.hosts[ARCHIVE] = "archive"
        self.saved: dict[str, tuple[int, dict[str, Any]]] = {}
        self.archiver: Any = None
        self.archive_network: SimNetwork | None = None
        self.root: Path | None = None
        self._restarting: set[str] = set()  # controllers that are being restarted in the same process
        self.recovered: list[str] = []  # controllers that were restarted in the same process, in order

    def _set_up(self, words: list[str], kinds: list[MachineType], machines: list[list[str]]) -> None:
        if words[0] == "archive":
            self._has_archiver = words[1] != "off"
        elif words[0] == "answers":
            self._answers_archived = words[1] == "archived"
        elif words[0] == "without":
            self._without_recovery.update(words[1:])
        else:
            super()._set_up(words, kinds, machines)

    def controller(self, node: str, network: SimNetwork, boot: str, version: int) -> Controller:
        """Creates a controller, with recovery unless `without` names it."""
        if node in self._without_recovery:
            return super().controller(node, network, boot, version)
        previous = self.controllers.get(node) if node in self._restarting else None
        return controller_with_recovery(self.platform(int(node[1:])), self.tuning, network, boot, previous)

    def recovery(self, node: str) -> RecoveryService:
        """Returns the recovery service of a controller."""
        service = self.controllers[node]._recovery
        assert isinstance(service, RecoveryService)
        return service

    async def start(self, node: str) -> None:
        """Starts a controller, and restarts it whenever its run() ends by itself."""
        await super().start(node)
        if node not in self._without_recovery:
            await curio.spawn(self._restart_when_ended, node, self.running[node], daemon=True)

    async def _restart_when_ended(self, node: str, task: Any) -> None:
        """Restarts a controller in the same process when its run() ends by itself, as the command line does."""
        await task.wait()
        if self.running.get(node) is task and not task.cancelled and not task.exception:
            self.recovered.append(node)
            await self.kill(node)
            self._restarting.add(node)
            await self.start(node)
            self._restarting.discard(node)

    def run(self) -> None:
        """Plays the scenario to its end, with a temporary directory for the archive."""
        with tempfile.TemporaryDirectory() as directory:
            self.root = Path(directory)
            super().run()

    async def _main(self) -> None:
        network = SimNetwork(self.links, "operator")
        store = Store(network.client(STATE_ADDRESS, 1), self.platform(0).deployment.state, 1)
        await declare_first_history(store, False, self._answers_archived)
        if self._has_archiver:
            await self.start_archiver()
        await super()._main()
        self.running.clear()  # controllers that end from here on are not restarted

    async def start_archiver(self) -> None:
        """Starts the archiver on its directory, as the previous process left it."""
        assert self.root is not None
        self.archive_network = SimNetwork(self.links, "archive")
        self.archiver = await curio.spawn(
            commands.serve, self.platform(0), self.root, ARCHIVE, self.archive_network, daemon=True
        )

    async def stop_archiver(self) -> None:
        """Ends the archiver without any cleanup."""
        assert self.archive_network is not None
        self.archive_network.ended = True
        self.links.handlers.pop(ARCHIVE, None)
        await self.archiver.cancel(blocking=False)

    async def _act(self, words: list[str]) -> None:
        action, args = words[0], words[1:]
        self.faults_end_at = max(self.faults_end_at, self.clock.now)
        if action == "wipe":
            self.store.wipe()
        elif action == "save":
            self.saved[args[0]] = self.store.revision, dict(self.store.keys)
        elif action == "restore":
            self.store.restore(*self.saved[args[0]])
        elif action == "lose":
            for key in [key for key in self.store.keys if key.startswith(args[0])]:
                del self.store.keys[key]
        elif action == "repeat-all":
            self.store.repeat_all(HISTORY)
        elif action == "settle":
            network = SimNetwork(self.links, "operator")
            store = Store(network.client(STATE_ADDRESS, 1), self.platform(0).deployment.state, 1)
            await resolve_job(store, args[0], args[1])
        elif action == "stop-archiver":
            await self.stop_archiver()
        elif action == "start-archiver":
            await self.start_archiver()
        else:
            await super()._act(words)

    async def _watch_records(self) -> None:
        """Checks nothing: the base class reads the keys of the first history, which don't change after a loss."""
        while True:
            await curio.sleep(3600)

    def _expectation_holds(self, words: list[str]) -> bool:
        kind, args = words[0], words[1:]
        if kind == "recovered":
            return len(self.recovered) == int(args[0])
        if kind == "answered":
            return int(args[0]) in self.submission_statuses
        if kind == "began":
            starts = self.world.checks.starts
            return sum(n for task, n in starts.items() if task.startswith(args[0] + "/")) == int(args[1])
        if kind == "on-record":
            return self.final(args[0]) == " ".join(args[1:])
        if kind == "never-told":
            return args[1] not in self.answers_by_job.get(args[0], [])
        return super()._expectation_holds(words)

    def final(self, job: str) -> str:
        """Returns the final state of a job in the current history, or "none"."""
        current = self.store.keys["history/current"][0]
        prefix = "" if current["number"] == 1 else f"h{current['number']}.{current['name']}/"
        value = self.store.keys.get(prefix + records.FINAL + job)
        return value[0]["state"] if value is not None else "none"
