"""The protocol between entries: messages, codec and gRPC adapter."""
