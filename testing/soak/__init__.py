"""Randomized soak: real processes, faults from outside, promises checked.

`run` plays one seed, `faults` says what may go wrong, `promises` what must hold.
"""
