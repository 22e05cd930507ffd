#!/bin/sh
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")" && exec python3 -B play.py
