#!/usr/bin/env bash
# The stand-ins are Python 3 scripts that use only the standard library: nothing is built.
cd "$(dirname "$0")" || exit 1
python3 -B -c 'import ast, sys; [ast.parse(open(path).read()) for path in sys.argv[1:]]' lib/*.py */case.py
