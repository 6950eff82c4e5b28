"""Settings of the documentation."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

project = "reachlink"
author = "the reachlink developers"
extensions = ["myst_parser", "sphinx.ext.autodoc", "numpydoc"]
html_theme = "alabaster"
exclude_patterns = ["_build", "changes"]
myst_heading_anchors = 3
numpydoc_show_class_members = False
suppress_warnings = ["myst.header"]
