"""Fair queueing of waiting calls."""
