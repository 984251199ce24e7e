"""Measurements, one command each; none is part of the tests."""
