"""A randomized soak: the platform program as real processes, amid faults from outside."""

from almondstack.standin.soak.run import SoakReport, SoakSettings, run_soak

__all__ = ["SoakReport", "SoakSettings", "run_soak"]
