"""Records every request and its response on the simulated network."""

from __future__ import annotations

import re
from dataclasses import dataclass

from spurarch.transport.http import Request, Response
from tests.sim.scenario import ScenarioRun


@dataclass(frozen=True)
class Exchange:
    """A request and its response. `line` is the method and the target."""

    source: str
    address: str
    line: str
    body: bytes
    status: int
    answer: bytes


def record_exchanges(scenario_run: ScenarioRun) -> list[Exchange]:
    """Returns a list to which all exchanges are added; to be called before the scenario runs."""
    exchanges: list[Exchange] = []
    send = scenario_run.links.request

    async def record(source: str, address: str, request: Request, timeout_s: float) -> Response:
        response = await send(source, address, request, timeout_s)
        line = f"{request.method} {request.target}"
        exchanges.append(Exchange(source, address, line, request.body, response.status, response.body))
        return response

    scenario_run.links.request = record  # type: ignore[method-assign]
    return exchanges


def mask_random_values(raw: bytes) -> bytes:
    """Replaces process names and times of day, which differ between runs, by BOOT and MOMENT."""
    raw = re.sub(rb"[0-9a-f]{16}", b"BOOT", raw)
    return re.sub(rb'"(at|cancelled_at)":17000[0-9]+\.[0-9]+', rb'"\1":MOMENT', raw)
