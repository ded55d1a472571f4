"""Small stand-ins for the systems around spurarch, written from the protocol pages with the standard library only."""
