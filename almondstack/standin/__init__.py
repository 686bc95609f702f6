"""Stand-ins for external systems, used by tests and the demo over their network protocols."""
