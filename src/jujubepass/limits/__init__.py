"""Account limits, admission, fair queueing, retry budgets and limit shares."""
