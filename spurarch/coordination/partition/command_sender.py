"""Sends commands to workers' own addresses instead of waiting for their next heartbeats."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

import curio
import msgspec

from spurarch.coordination.membership.permissions import Permissions
from spurarch.coordination.partition.machine import Machine
from spurarch.coordination.partition.owned_partition import OwnedPartition
from spurarch.protocol import wire
from spurarch.transport.http import NoAnswerError
from spurarch.transport.http_messages import MAX_BODY_BYTES
from spurarch.transport.network import Network, RequestClient

if TYPE_CHECKING:
    from spurarch.coordination.partition.record_feed import RecordFeed

log = logging.getLogger(__name__)

OK, CONFLICT = 200, 409  # executed; rejected for the fencing token or the incarnation
RESPONSE_TIMEOUT_S = 4.0
SOCKETS_PER_WORKER_CONNECTION = 8  # one of this many sockets is for a connection to a worker
MIN_WORKER_CONNECTIONS, MAX_WORKER_CONNECTIONS = 8, 150
MIN_REQUEST_INTERVAL_S = 0.5  # between requests to one machine
SILENT_REQUEST_INTERVAL_S = 2.0  # between requests to a silent machine that stop its cancelled tasks


def direct_connections(sockets: int) -> int:
    """Returns the maximum number of open connections to workers for a number of sockets.

    All machines of a fleet can need commands in the same second. The other sockets remain for the workers' heartbeats,
    whose responses carry the same commands.
    """
    return max(MIN_WORKER_CONNECTIONS, min(MAX_WORKER_CONNECTIONS, sockets // SOCKETS_PER_WORKER_CONNECTION))


class CommandSender:
    """Sends the commands of all partitions of this controller over a limited number of connections."""

    def __init__(
        self, network: Network, permissions: Permissions, feed: RecordFeed, silent_s: float, sockets: int
    ) -> None:
        self._network, self._permissions, self._feed, self._silent_s = network, permissions, feed, silent_s
        self._clients: dict[str, RequestClient] = {}  # by address, least recently used first
        self._max_connections = direct_connections(sockets)
        self._connection_slots = curio.Semaphore(self._max_connections)
        self._awaiting_connection: set[str] = set()  # names of machines whose commands wait for a connection

    async def send(self, owned: OwnedPartition) -> None:
        """Starts sending the commands that machines need; heartbeat responses repeat commands that don't arrive.

        Applies pending record changes to the partition first. Returns before the commands are sent, which background
        tasks do.
        """
        partition = owned.partition
        if partition.state.records_read:
            self._feed.update(owned)
        now = time.monotonic()
        if not partition.machines_needing_commands or not self._permissions.may_command(now):
            return
        for name in list(partition.machines_needing_commands):
            machine = partition.machines.get(name)
            if machine is None or not partition.commands.needs_command(machine):
                del partition.machines_needing_commands[name]
                continue
            silent = now - (machine.last_heartbeat_at or now) > self._silent_s
            if (
                machine.next_command_at > now
                or name in self._awaiting_connection
                or (silent and name not in partition.machines_with_cancelled_tasks)
            ):
                # Commands to a silent machine would use a connection until the timeout, so it gets only urgent ones.
                continue
            machine.next_command_at = now + (SILENT_REQUEST_INTERVAL_S if silent else MIN_REQUEST_INTERVAL_S)
            self._awaiting_connection.add(name)
            await curio.spawn(self._send_to_machine, owned, machine, daemon=True)

    def _client(self, address: str) -> RequestClient:
        client = self._clients.pop(address, None) or self._network.client(address, 1)
        self._clients[address] = client
        while len(self._clients) > self._max_connections:
            self._clients.pop(next(iter(self._clients)))
        return client

    async def _send_to_machine(self, owned: OwnedPartition, machine: Machine) -> None:
        """Plans and sends the machine's commands once a connection is free.

        They are not planned earlier, since the wait for a connection can be long when many tasks start at once.
        """
        async with self._connection_slots:
            self._awaiting_connection.discard(machine.name)
            now = time.monotonic()
            if self._permissions.owns(owned.partition) and self._permissions.may_command(now):
                request = owned.partition.direct_commands.next_request(machine)
                if request is not None:
                    await self._exchange(owned, machine, request)

    async def _exchange(self, owned: OwnedPartition, machine: Machine, request: wire.DirectCommands) -> None:
        partition, client = owned.partition, self._client(machine.addr)
        try:
            status, body = await client.request("POST", wire.PATH_COMMANDS, wire.encode(request), RESPONSE_TIMEOUT_S)
        except NoAnswerError as err:
            log.debug("direct command unanswered machine=%s error=%s", machine.name, err)
            partition.direct_commands.on_failure(machine)
            return
        heartbeat = None
        if status == CONFLICT:
            log.debug("direct commands rejected machine=%s token=%d", machine.name, request.fencing_token)
        if status in (OK, CONFLICT):
            try:
                heartbeat = wire.heartbeat_decoder.decode(body)
                if len(body) > MAX_BODY_BYTES:
                    log.warning(
                        "worker lists more tasks than a heartbeat can hold machine=%s tasks=%d bytes=%d",
                        machine.name,
                        len(heartbeat.tasks),
                        len(body),
                    )
            except msgspec.DecodeError as err:
                log.warning("cannot decode worker response machine=%s error=%s", machine.name, err)
        partition.direct_commands.on_response(machine, request, heartbeat, time.monotonic())
        if partition.terminal_attempts:
            await owned.wakeup.set()
