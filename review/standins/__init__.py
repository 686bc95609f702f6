"""Stand-ins that the scripts of the review share: workers, machines, callers and the rig."""
