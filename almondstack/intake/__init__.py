"""What callers may ask of jobs, on any process."""

from almondstack.intake.service import JobService, StoreReader, Verdict

__all__ = ["JobService", "StoreReader", "Verdict"]
