"""Starts spurarch from a checkout, with the dependencies and the bytecode that the build put under target/."""

import gc
import os
import sys

gc.disable()  # nothing that is loaded at the start is ever garbage; the controller turns it on again
ROOT = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(ROOT, "target", "deps"))
# deploy/precompile.py puts the bytecode of everything that a controller imports here, that of the standard library
# included: with a prefix set, Python looks for bytecode nowhere else, and compiling takes ten times as long as loading.
sys.pycache_prefix = os.path.join(ROOT, "target", "pyc")

from spurarch.cli import main  # noqa: E402 (the path has to be set first)

if __name__ == "__main__":
    sys.exit(main())
