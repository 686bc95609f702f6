"""Builders and fakes for tests; not used by the product."""
