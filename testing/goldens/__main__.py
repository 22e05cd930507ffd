"""Record the sessions again: ``python -m testing.goldens --write [NAME ...]``."""

from __future__ import annotations

import sys

from . import sessions  # noqa: F401  (registers the sessions)
from .recorder import plans


def main(arguments: list[str]) -> int:
    """Write the named recordings, or all without names."""
    if not arguments or arguments[0] != "--write":
        print(__doc__)
        return 2
    for name in arguments[1:] or plans.names():
        plan = plans.get(name)
        lines = plan.play()
        plan.path().write_text("\n".join(lines) + "\n", encoding="utf-8")
        print(f"{plan.path().name}: {len(lines)} lines")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
