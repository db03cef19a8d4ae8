"""Global limits: how much of each team's limit a data centre may use."""
