"""Simulations of the platform's store and of workers, for tests and trials."""
