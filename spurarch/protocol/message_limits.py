"""What the published protocol's limit on the size of a message allows: tasks on a machine, and commands in a message.

A worker's heartbeat is a request body, and it lists all tasks on the machine, exited ones too until the worker is told
to forget them. A worker can't split a heartbeat. One that exceeds the limit is never sent, so the worker's lease
expires, and no other message shows what runs on the machine. The number of tasks on a machine is therefore limited like
its CPUs.

Commands reach a worker in request bodies and in heartbeat responses, which have the same limit.

All limits hold for the longest names, numbers and states that the protocol allows, so they don't depend on the tasks.
"""

from __future__ import annotations

import msgspec

from spurarch.protocol import wire
from spurarch.transport.http_messages import MAX_BODY_BYTES

_LONGEST_NAME = "n" * wire.MAX_NAME_LENGTH
_LONGEST_TASK = wire.task_name("job-" + "9" * wire.MAX_JOB_ID_DIGITS, wire.MAX_TASKS - 1)
_LONGEST_STATE = max(wire.TASK_STATES, key=len)
_LONGEST_EXIT_REASON = max(wire.EXIT_REASONS, key=len)
_LONGEST_AMOUNT = -1.7976931348623157e308  # a number with the most characters
_LARGEST_TOKEN = 2**64 - 1


def _spaced_size(message: msgspec.Struct) -> int:
    """Returns the bytes of a message from a sender that puts a space after each comma and colon."""
    return len(msgspec.json.format(wire.encode(message), indent=0))


def _max_tasks_per_machine() -> int:
    """Returns how many tasks a heartbeat can list, whatever their names, attempt numbers and states are."""
    without_tasks = wire.Heartbeat(
        _LONGEST_NAME,
        _LONGEST_NAME,
        _LONGEST_NAME,
        _LONGEST_NAME,
        wire.MAX_COUNT,
        wire.MAX_COUNT,
        _LARGEST_TOKEN,
        [],
        False,
        _LONGEST_AMOUNT,
    )
    task = wire.TaskStatus(_LONGEST_TASK, wire.MAX_COUNT, _LONGEST_STATE, _LONGEST_EXIT_REASON, False)
    return (MAX_BODY_BYTES - _spaced_size(without_tasks)) // (_spaced_size(task) + len(", "))


def _max_commands_per_message() -> int:
    """Returns how many commands fit in a request with direct commands, and so in a heartbeat response too."""
    without_commands = wire.DirectCommands(_LARGEST_TOKEN, wire.MAX_COUNT, [])
    command = wire.Command(max(wire.COMMANDS, key=len), _LONGEST_TASK, wire.MAX_COUNT, _LONGEST_AMOUNT)
    return (MAX_BODY_BYTES - len(wire.encode(without_commands))) // (len(wire.encode(command)) + len(","))


MAX_TASKS_PER_MACHINE = _max_tasks_per_machine()
MAX_COMMANDS_PER_MESSAGE = _max_commands_per_message()
