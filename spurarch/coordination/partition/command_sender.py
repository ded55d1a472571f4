"""Commands that go straight to workers' own addresses, instead of waiting for their next reports."""

from __future__ import annotations

import logging
import time

import curio
import msgspec

from spurarch.coordination.membership.permissions import Permissions
from spurarch.coordination.partition.machine import Machine
from spurarch.coordination.partition.owned_partition import OwnedPartition
from spurarch.protocol import wire
from spurarch.transport.http import NoAnswerError
from spurarch.transport.network import Network, Requests

log = logging.getLogger(__name__)

DIRECT_S = 4.0  # for an answer
DIRECT_SHARE, DIRECT_MOST = 8, 150  # of all sockets, one in so many is for connections to workers
AGAIN_S = 0.5  # between commands to one machine
QUIET_PAUSE_S = 2.0  # between tries to tell a silent machine that a task of it is cancelled


def direct_connections(sockets: int) -> int:
    """Connections to workers at a time.

    All of a fleet may need commands in the same second, and workers' own reports, which bring the same commands, need
    the other sockets.
    """
    return max(8, min(DIRECT_MOST, sockets // DIRECT_SHARE))


class CommandSender:
    """Sends commands of all partitions of this controller over a bounded number of connections."""

    def __init__(self, network: Network, permissions: Permissions, silent_s: float, sockets: int) -> None:
        self._network, self._permissions, self._silent_s = network, permissions, silent_s
        self._clients: dict[str, Requests] = {}
        self._most = direct_connections(sockets)
        self._slots = curio.Semaphore(self._most)
        self._in_line: set[str] = set()  # machines whose commands wait for a connection

    async def send(self, owned: OwnedPartition) -> None:
        """Sends what the partition's machines have to be told; their next reports repeat what got lost."""
        partition, now = owned.partition, time.monotonic()
        if not partition.machines_needing_commands or not self._permissions.may_command(now):
            return
        for name in list(partition.machines_needing_commands):
            machine = partition.machines.get(name)
            if machine is None or not partition.commands.needs_command(machine):
                del partition.machines_needing_commands[name]
                continue
            quiet = now - (machine.last_heartbeat_at or now) > self._silent_s
            if (
                machine.next_command_at > now
                or name in self._in_line
                or (quiet and name not in partition.machines_with_cancelled_tasks)
            ):
                continue  # one that is silent would only keep a connection from others
            machine.next_command_at = now + (QUIET_PAUSE_S if quiet else AGAIN_S)
            self._in_line.add(name)
            await curio.spawn(self._direct, owned, machine, daemon=True)

    def _client(self, address: str) -> Requests:
        client = self._clients.pop(address, None) or self._network.client(address, 1)
        self._clients[address] = client
        while len(self._clients) > self._most:
            self._clients.pop(next(iter(self._clients)))
        return client

    async def _direct(self, owned: OwnedPartition, machine: Machine) -> None:
        """Commands are worked out when there is a connection for them: in a mass start that may take a while."""
        async with self._slots:
            self._in_line.discard(machine.name)
            now = time.monotonic()
            if self._permissions.owns(owned.partition) and self._permissions.may_command(now):
                sent = owned.partition.direct_commands.next_request(machine)
                if sent is not None:
                    await self._command(owned, machine, sent)

    async def _command(self, owned: OwnedPartition, machine: Machine, sent: wire.DirectCommands) -> None:
        partition, client = owned.partition, self._client(machine.addr)
        try:
            status, answer = await client.request("POST", wire.PATH_COMMANDS, wire.encode(sent), DIRECT_S)
        except NoAnswerError as err:
            log.debug("direct command unanswered machine=%s error=%s", machine.name, err)
            partition.direct_commands.on_failure(machine, sent, err.sent)
            return
        heartbeat = None
        if status in (200, 409):
            try:
                heartbeat = wire.heartbeat_decoder.decode(answer)
            except msgspec.DecodeError as err:
                log.warning("unreadable worker answer machine=%s error=%s", machine.name, err)
        partition.direct_commands.on_response(machine, sent, heartbeat, time.monotonic())
        if partition.terminal_attempts:
            await owned.wakeup.set()
