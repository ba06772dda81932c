"""masticdrum serves prompts that return after long gaps, across data centres."""
