"""The only program that may start others: demo, load and benchmarks."""
