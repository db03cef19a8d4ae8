"""The planners' sheet: parsing, comparison and application."""
