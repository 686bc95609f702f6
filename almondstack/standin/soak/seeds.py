"""Seeds that failed once, each with its cause; they are played again for good."""

__all__ = ["FAILED_SEEDS"]

FAILED_SEEDS: dict[int, str] = {}
