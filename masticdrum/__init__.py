"""Serves prompts that recur after long gaps, across data centres."""
