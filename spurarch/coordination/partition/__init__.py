"""A partition in its owner's hands: machine and attempt state machines, heartbeats, commands, records."""
