"""Starts spurarch from a checkout, with the dependencies and the bytecode that the build stored under target/."""

import gc
import os
import sys

gc.disable()  # no object that is created by the imports is garbage; `spurarch.cli` enables collection again
ROOT = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(ROOT, "target", "deps"))
# deploy/precompile.py stores the bytecode of all modules that a controller imports here, those of the standard library
# included. With a prefix set, Python searches for bytecode nowhere else; compiling takes ten times as long as loading.
sys.pycache_prefix = os.path.join(ROOT, "target", "pyc")

from spurarch.cli import main  # noqa: E402 (sys.path must be set first)

if __name__ == "__main__":
    sys.exit(main())
