"""Open-loop load with verified answers, for measurements and the demo."""
