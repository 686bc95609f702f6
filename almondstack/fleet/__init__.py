"""Decisions about the fleet: budgets, waves, buffer and moves."""
