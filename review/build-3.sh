#!/bin/sh
# Builds the stand-ins that the cases 11 to 15 start. They are Python programs of the standard
# library, so that this only checks that they compile.
set -eu
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib

for path in sorted(pathlib.Path("standins-3").glob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
    print(f"{path}: compiles")
PY
