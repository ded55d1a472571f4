"""Typed messages of every interface, their checks, and the only home of the names on the wire."""
