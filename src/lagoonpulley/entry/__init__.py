"""One entry: assembly of its roles and ports, and its shutdown."""
