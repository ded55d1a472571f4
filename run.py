"""Starts spurarch from a checkout, with the dependencies that the build put under target/."""

import os
import sys

ROOT = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(ROOT, "target", "deps"))
# The build compiles the sources here, so that a restarted controller is back well inside a worker's lease.
sys.pycache_prefix = os.path.join(ROOT, "target", "pyc")

from spurarch.cli import main  # noqa: E402 (the path has to be set first)

if __name__ == "__main__":
    sys.exit(main())
