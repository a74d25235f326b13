"""Labels, selectors and teams: what operators decide, by revision."""
