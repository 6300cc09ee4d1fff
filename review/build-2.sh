#!/usr/bin/env bash
# Prepares what the scripts of cases 4 to 8 start besides rockdeal itself, which the build of the deploy file makes.
# The stand-ins are in review/lib2/kit.py and need Python 3 (3.9 or later) and its standard library. Nothing is compiled
# or fetched; this checks that Python can read them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - <<'CHECK'
import ast, sys
if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or later is needed")
for path in ["lib2/kit.py"] + ["%d/case.py" % case for case in range(4, 9)]:
    with open(path) as file:
        ast.parse(file.read(), path)
CHECK
chmod +x [4-8]/run.sh
echo "build-2: stand-ins ready"
