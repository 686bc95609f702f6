"""almondstack: a fleet capacity and maintenance manager.

See ``docs/architecture.md`` for the parts and how they act together.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
