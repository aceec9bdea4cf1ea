"""Faults played on the real programs: starts, connections and odd values."""

import sys
from pathlib import Path

# The stand-ins of the review are modules of the folder `review`.
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'review'))
# The libraries that the deploy file installs; some cases write stored files.
sys.path.append(str(Path(__file__).resolve().parent.parent / 'target' / 'deps'))
