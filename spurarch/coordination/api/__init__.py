"""The users' request API."""
