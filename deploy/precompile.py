"""Build step: stores the bytecode of all modules that a controller imports under target/pyc.

A controller has no write access to target/ and would otherwise compile every module at each start.
"""

import os
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, ROOT)

import run  # noqa: E402, F401 (sets the paths of a controller; bytecode of modules imported earlier is not stored)
from spurarch import cli  # noqa: E402

if __name__ == "__main__":
    cli.load_controller()
    import compileall

    compiled = compileall.compile_dir(os.path.join(ROOT, "spurarch"), quiet=1)
    sys.exit(0 if compiled and compileall.compile_file(os.path.join(ROOT, "run.py"), quiet=1) else 1)
