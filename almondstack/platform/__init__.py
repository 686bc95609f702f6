"""Adapter to the users' platform: its wire, store, workers, machines and settings file.

Nothing is re-exported: ``python3 -m almondstack.platform`` must come to its first line, which
takes care of early signals, before anything else is loaded.
"""

__all__: list[str] = []
