"""What callers may ask of jobs, on any process."""

from almondstack.intake.service import JobService, StoreReader
from almondstack.intake.verdicts import Verdict

__all__ = ["JobService", "StoreReader", "Verdict"]
