"""The whole path in separate processes, as a user would start them."""

import contextlib
import http.client
import json
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from benchmarks.processes import CUSTOMER, OPERATOR, Deployment

PLAN = """
[platform]
listen = 127.0.0.1:0
[endpoint engine-1]
kind = model
service = model
version = v1
zone = zone-a
listen = 127.0.0.1:0
[endpoint intake-1]
kind = plain
service = intake
version = v1
zone = zone-a
listen = 127.0.0.1:0
"""

CONFIGURATION = """
[service model]
kind = model
[version model v1]
[service intake]
kind = plain
[version intake v1]
[class question]
service = model
answer_within_ms = 5000
[class order]
service = intake
answer_within_ms = 5000
repeats = 0
[customer test]
credential_sha256 = {customer}
"""
