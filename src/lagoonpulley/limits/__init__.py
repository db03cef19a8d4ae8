"""Fleet-wide limits: how much of each team limit a data centre may use."""
