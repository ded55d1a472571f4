"""Stand-ins for what controllers talk to, in virtual time."""
