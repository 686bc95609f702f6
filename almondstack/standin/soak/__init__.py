"""Randomized soak test of the platform program, run as processes under injected faults."""

from almondstack.standin.soak.run import SoakReport, SoakSettings, run_soak

__all__ = ["SoakReport", "SoakSettings", "run_soak"]
