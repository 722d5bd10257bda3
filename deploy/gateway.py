"""Starts ``caperdyke-gateway`` from a checkout, without an installed package."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from caperdyke.programs import gateway

sys.exit(gateway.main())
