"""Protocol with the workers: commands, results and HTTP adapter."""
