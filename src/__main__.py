"""Run the ingress from the source folder with ``python3 src``."""

import signal

# Before the settings are read there is nothing to reload, and the default action
# of SIGHUP would end the process while it imports its libraries.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from _monsoonpulley.ingress.daemon import run_ingress  # noqa: E402

raise SystemExit(run_ingress())
