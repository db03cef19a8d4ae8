"""Commands to workers and their results.

:mod:`..scheduler` uses :mod:`.messages`, :mod:`..owner` uses :mod:`.tasks`.
"""
