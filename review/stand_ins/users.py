"""Users behind the load balancer: submit, poll and cancel jobs as the protocol page says."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any

from stand_ins.http import Client, NoResponseError

SUBMIT_TIMEOUT_S, POLL_TIMEOUT_S, RETRY_S, GIVE_UP_S = 5.0, 2.0, 1.0, 60.0


class Users:
    """Requests of users; each goes to a controller that accepts a connection, three controllers at most."""

    def __init__(self, nodes: dict[str, str], note: Callable[..., None]) -> None:
        self.nodes, self._note = nodes, note
        self._clients = {name: Client(address) for name, address in nodes.items()}

    async def ask(self, method: str, target: str, body: Any, timeout_s: float, node: str = "") -> tuple[int, Any]:
        """Returns status and answer, from `node` or from any controller; status 0 without a response."""
        names = [node] if node else random.sample(list(self.nodes), min(3, len(self.nodes)))
        for name in names:
            try:
                return await self._clients[name].request(method, target, body, timeout_s)
            except NoResponseError as err:
                if "Refused" not in str(err):
                    return 0, {"error": str(err)}
        return 0, {"error": "no controller accepts a connection"}

    async def submit(self, spec: dict[str, Any], node: str = "") -> bool:
        """Submits a job, repeatedly if an answer asks for it, and returns whether it was accepted."""
        return await self._repeat("/submissions", spec, spec["ref"], (200, 201), node) is not None

    async def cancel(self, ref: str, node: str = "") -> dict[str, Any] | None:
        """Cancels a job, in the same way; returns the answer."""
        return await self._repeat(f"/submissions/{ref}/cancel", {}, ref, (200,), node)

    async def _repeat(
        self, target: str, body: Any, ref: str, wanted: tuple[int, ...], node: str
    ) -> dict[str, Any] | None:
        until = time.monotonic() + GIVE_UP_S
        while time.monotonic() < until:
            status, answer = await self.ask("POST", target, body, SUBMIT_TIMEOUT_S, node)
            self._note("user request", job=ref, target=target, status=status, answer=answer)
            if status in wanted:
                return dict(answer)
            if status in (400, 422):
                return None
            await asyncio.sleep(RETRY_S)
        return None

    async def poll(self, ref: str, node: str = "") -> tuple[int, Any]:
        """Asks for a job's state once."""
        status, answer = await self.ask("GET", f"/submissions/{ref}", None, POLL_TIMEOUT_S, node)
        self._note("poll", job=ref, status=status, answer=answer)
        return status, answer

    def close(self) -> None:
        """Closes all connections."""
        for client in self._clients.values():
            client.close()


def job(ref: str, tasks: int, **fields: Any) -> dict[str, Any]:
    """Returns a submission: by default an array as of class `slope-sweep` of the first brief."""
    return {
        "ref": ref,
        "circuit": "slope-sweep",
        "crew": "survey-cell-00",
        "gait": "batch",
        "precedence": "high",
        "legs": tasks,
        "vcpus": 4.0,
        "gpus": 0.0,
        "memory_gb": 10.0,
        "kit": "img-01",
        "pull_gb": 0.15,
        "builds": None,
        "district": None,
        "together": False,
        "spread": False,
        "lendable": True,
        "reckon_s": 18.0,
        "waypoint_s": 0.0,
        "stow_s": 0.0,
        "cutoff_s": None,
        **fields,
    }
