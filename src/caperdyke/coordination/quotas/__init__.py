"""Quotas of teams: the requests per second that all instances together may send for a team."""
