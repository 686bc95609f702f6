"""The program ``almondstack-bench``: demo, load runs and benchmarks."""
