"""Keeps a copy of the state service's data on the disk of an operators' machine, and a log of its changes."""
