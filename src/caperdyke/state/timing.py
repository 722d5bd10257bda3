"""Durations that several modules must agree on, all in seconds."""

# Largest difference between the wall clock of an instance and true time.
CLOCK_ERROR_SECONDS = 0.25
# Longest period that a contract may set.
PERIOD_MAX_SECONDS = 1.0
# Longest time from counting a request start to sending its first byte; later it is not sent.
SEND_DELAY_MAX_SECONDS = 0.05
# Interval between two heartbeats on a link, and the silence after which the peer counts as lost.
HEARTBEAT_INTERVAL_SECONDS = 0.5
HEARTBEAT_TIMEOUT_SECONDS = 1.6
# Validity of a report that an instance does not answer, and the age at which it is repeated.
REPORT_TTL_SECONDS = 10.0
REPORT_REPEAT_SECONDS = 4.0
# Interval between two reads of the configuration's head, and the age of the latest confirmation
# beyond which an instance falls back to floors.
POLL_INTERVAL_SECONDS = 0.4
CONFIRMATION_AGE_MAX_SECONDS = 2.0
# Increase of the confirmation time from which it is passed on to peers at once.
CONFIRMATION_SPREAD_SECONDS = 0.3
# Time from the acceptance of a change until it alone applies: by then every instance that has not
# received it has been limited to floors for one whole period.
IN_FORCE_DELAY_SECONDS = CONFIRMATION_AGE_MAX_SECONDS + 2 * CLOCK_ERROR_SECONDS + PERIOD_MAX_SECONDS
# Interval between two renewals of a lease, its duration, and how much longer its floors last.
LEASE_RENEWAL_INTERVAL_SECONDS = 3.0
REST_LEASE_SECONDS = 12.0
FLOOR_EXTRA_SECONDS = 1800.0
# Longest time from the first indication that a backend server is leaving to its last new request.
LEAVING_GRACE_SECONDS = 3.0
# How long a look-up answer may be used, and how long a key may start a request.
LOOKUP_TTL_SECONDS = 5.0
KEY_TTL_SECONDS = 60.0
# How long the record of a key is kept after the last time at which the key could be used.
KEY_RETENTION_SECONDS = 120.0
