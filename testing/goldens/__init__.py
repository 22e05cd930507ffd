"""Golden sessions: recorded runs of the real code, as JSON lines.

``python -m testing.goldens --write`` records them again.
"""
