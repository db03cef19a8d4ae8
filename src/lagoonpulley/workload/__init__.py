"""Jobs made of steps: what was submitted, how far it is, and how it is stored."""
