"""What callers may ask of jobs, on any process."""

from almondstack.intake.service import JobService, Verdict

__all__ = ["JobService", "Verdict"]
