"""Knowledge of servers' runs that outlasts their entries in the list."""
