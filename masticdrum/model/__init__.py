"""Plain data shared by every layer: messages, tables, events, effects, errors."""
