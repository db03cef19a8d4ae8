"""The platform's key-value store: operations and HTTP adapter."""
