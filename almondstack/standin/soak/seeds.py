"""Regression seeds: seeds of soak runs that broke a rule once, each with the cause."""

__all__ = ["FAILED_SEEDS"]

FAILED_SEEDS: dict[int, str] = {
    2: "the next incarnation of a worker executed a start, and the run was counted as lost",
    5: "a session's second poll of a worker's new incarnation acknowledged ends of the old one",
    6: "a poll that acknowledged ends of an earlier incarnation made the next one drop an end",
    22: "an owner resumed after a pause started a run on a worker's next, token-less incarnation",
}
