"""Quotas, rate limits, retry budgets and cooldowns."""
