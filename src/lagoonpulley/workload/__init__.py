"""Multi-step jobs: submission, progress and stored form."""
