"""Typed and validated messages of every interface. Names on the wire are defined only here."""
