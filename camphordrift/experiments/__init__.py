"""Measurements: what the decisions do under load and faults, with seeds."""
