"""Golden sessions: whole sessions of the real code, recorded as JSON lines.

``python -m testing.goldens --write`` records them anew.
"""
