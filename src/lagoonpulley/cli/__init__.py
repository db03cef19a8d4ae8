"""Command line: one module per subcommand."""
