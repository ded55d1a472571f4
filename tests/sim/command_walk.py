"""Random series of what can happen between a partition owner and its workers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from tests.sim.command_exchange import CommandExchange
from tests.sim.worker_model import Worker

WORKERS, TASKS = 2, 1


@dataclass
class Action:
    """Something that happens; `weight` says how often it is drawn, compared with the others."""

    weight: float
    take: Callable[[CommandExchange, Random], bool]


def on_worker(method: Callable[[CommandExchange, Worker], bool]) -> Callable[[CommandExchange, Random], bool]:
    """Returns an action on a random worker."""
    return lambda world, random: method(world, random.choice(world.workers))


def on_message(method: Callable[[CommandExchange, Worker, int], bool]) -> Callable[[CommandExchange, Random], bool]:
    """Returns an action on a random message from or to a random worker."""
    return lambda world, random: method(world, random.choice(world.workers), random.getrandbits(16))


# A rule breaks only after a long series of actions, so those that end what is on its way are rare.
ACTIONS = {
    "assign": Action(12, lambda world, random: world.assign(random.randrange(TASKS), random.choice(world.workers))),
    "record ends": Action(12, lambda world, _: world.record_ends()),
    "request stop": Action(6, lambda world, random: world.request_stop(random.randrange(TASKS))),
    "end task": Action(2, lambda world, random: world.end_task(random.choice(world.workers), random.randrange(TASKS))),
    "send heartbeat": Action(6, on_worker(CommandExchange.send_heartbeat)),
    "deliver heartbeat": Action(8, on_worker(CommandExchange.deliver_heartbeat)),
    "deliver response": Action(1, on_worker(CommandExchange.deliver_response)),
    "drop heartbeat": Action(0.4, on_worker(CommandExchange.drop_heartbeat)),
    "exchange heartbeat": Action(4, on_worker(CommandExchange.exchange_heartbeat)),
    "deliver copy": Action(1, on_message(CommandExchange.deliver_copy)),
    "send direct commands": Action(1, on_worker(CommandExchange.send_direct)),
    "deliver direct commands": Action(4, on_message(CommandExchange.deliver_direct)),
    "deliver direct copy": Action(2, on_message(CommandExchange.deliver_direct_copy)),
    "deliver direct response": Action(4, on_worker(CommandExchange.deliver_direct_response)),
    "abandon direct commands": Action(1, on_worker(CommandExchange.abandon_direct)),
    "exchange direct commands": Action(15, on_worker(CommandExchange.exchange_direct)),
    "restart": Action(0.3, lambda world, random: world.restart(random.choice(world.workers), keeps_token=True)),
    "change owner": Action(0.3, lambda world, _: world.change_owner()),
    "read records": Action(4, lambda world, _: world.read_records()),
    "pass time": Action(0.6, lambda world, _: world.pass_time()),
    "end leases": Action(0.3, lambda world, _: world.end_leases()),
}
NAMES, WEIGHTS = list(ACTIONS), [action.weight for action in ACTIONS.values()]


class Walk:
    """A random series of actions, drawn from a seed."""

    def __init__(self, seed: int) -> None:
        self._random = Random(seed)
        self.world = CommandExchange(WORKERS, TASKS)
        self.taken: list[str] = []

    def run(self, steps: int) -> list[str]:
        """Takes `steps` actions that have an effect; returns what was violated."""
        while len(self.taken) < steps:
            name = self._random.choices(NAMES, WEIGHTS)[0]
            if ACTIONS[name].take(self.world, self._random):
                self.taken.append(name)
            problems = self.world.ran_twice + self.world.violations.messages
            if problems:
                return problems
        return []
