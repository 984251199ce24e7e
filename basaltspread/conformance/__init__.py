"""Conformance."""
