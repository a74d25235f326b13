"""Retry budgets, deadlines, outlier ejection and slow start."""
