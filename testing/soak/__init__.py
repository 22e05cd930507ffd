"""Randomized soak tests of real processes under injected faults.

`run` plays one seed, `faults` holds the faults and `promises` the checks.
"""
