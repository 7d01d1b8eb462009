#!/usr/bin/env bash
# The stand-ins are Python scripts of this folder, which need only Python's standard library: nothing is
# built. This checks that the interpreter can run them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib/*.py [0-9]/*.py <<'END'
import sys

if sys.version_info < (3, 10):
    sys.exit("Python 3.10 or later is needed")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
END
