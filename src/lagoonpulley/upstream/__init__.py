"""Workers: commands, answers and HTTP adapter."""
