"""Measurements that are not part of the tests."""
