#!/bin/sh
# The stand-ins are Python and need no build: this shows that they can be loaded from
# what the build of the deploy file has made.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 -c "import harness"
