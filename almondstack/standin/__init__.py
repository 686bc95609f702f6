"""Small stand-ins for outside systems, met by their protocol."""
