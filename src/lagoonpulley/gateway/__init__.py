"""HTTP for callers and operators."""
