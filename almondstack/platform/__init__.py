"""Adapter to the users' platform: its messages, store, workers, machines and settings file.

Nothing is re-exported: the first statement of ``python3 -m almondstack.platform`` ignores SIGHUP
and must run before any other module is imported.
"""

__all__: list[str] = []
