"""Messages between entries: membership, gossip and relaying."""
