"""Place experts on ranks and switch a group's expert map."""
