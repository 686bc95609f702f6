"""Seeds that failed once, each with its cause; they are played again for good."""

__all__ = ["FAILED_SEEDS"]

FAILED_SEEDS: dict[int, str] = {
    2: "a start was taken by the next life of its worker, and the run was counted as lost",
    5: "a session's second look to a worker's next life told it what was seen of the one before",
    6: "a look with what was seen of a worker's earlier life made the next forget an end",
    22: "an owner that had paused started a run on a worker's next life, which knew no token",
}
