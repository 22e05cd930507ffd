#!/bin/sh
# Checks that the stand-ins of cases 11 to 15 load; run it after the build of the deploy
# file. They are Python and use only the project's own stand-ins and `target/deps`.
cd "$(dirname "$0")/.." || exit 2
export PYTHONDONTWRITEBYTECODE=1
exec python3 -c 'import sys; sys.path.insert(0, "review/standins-3"); import deployment'
