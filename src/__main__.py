"""Run the ingress from the source folder, as ``python3 src``."""

from _monsoonpulley.ingress.daemon import run_ingress

raise SystemExit(run_ingress())
