"""Part of the build: keeps the bytecode of everything that a controller imports under target/pyc.

A controller can't write there itself, and would compile every module anew at each start.
"""

import os
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, ROOT)

import run  # noqa: E402, F401 (sets the paths that a controller has; what is imported before is not kept)
from spurarch import cli  # noqa: E402

if __name__ == "__main__":
    cli.load_controller()
    import compileall

    compiled = compileall.compile_dir(os.path.join(ROOT, "spurarch"), quiet=1)
    sys.exit(0 if compiled and compileall.compile_file(os.path.join(ROOT, "run.py"), quiet=1) else 1)
