#!/bin/bash
# Builds what the scripts in review/6 to review/10 start. The stand-ins are in Python, in
# review/harness-2 and beside each script, and use the standard library alone, so it is enough that
# they compile. The machines' program is built by the build line of deploy/system.toml.
cd "$(dirname "$0")/.." || exit 2
[ -d target/deps ] || { echo "run the build of deploy/system.toml first" >&2; exit 2; }
for file in review/harness-2/harness2.py review/{6,7,8,9,10}/case.py; do
    python3 -c "import sys; compile(open(sys.argv[1], encoding='utf-8').read(), sys.argv[1], 'exec')" "$file" || exit 2
done
