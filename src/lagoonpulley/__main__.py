"""Entry point of ``python -m lagoonpulley``."""

from __future__ import annotations

import sys

from .cli.main import main

sys.exit(main())
