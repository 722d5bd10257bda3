"""Named times that several modules must agree on, all in seconds."""

# Largest difference between the wall clock of an instance and true time.
CLOCK_ERROR_SECONDS = 0.25
# Longest period that a contract may set.
PERIOD_MAX_SECONDS = 1.0
# Longest time from the moment in which a start is counted to its first byte; later it is not sent.
SEND_DELAY_MAX_SECONDS = 0.05
# Interval between two heartbeats on a link, and the silence after which the peer counts as lost.
HEARTBEAT_INTERVAL_SECONDS = 0.5
HEARTBEAT_TIMEOUT_SECONDS = 1.6
# How long a report that an instance does not answer counts, and the age at which it is repeated.
REPORT_TTL_SECONDS = 10.0
REPORT_REPEAT_SECONDS = 4.0
# Interval between two reads of the configuration's head, and the age of the latest confirmation
# beyond which an instance falls back to floors.
POLL_INTERVAL_SECONDS = 0.4
CONFIRMATION_AGE_MAX_SECONDS = 2.0
# Growth of a confirmation's time that is passed on to peers at once.
CONFIRMATION_SPREAD_SECONDS = 0.3
# Time from acceptance of a change until it alone binds: by then every instance that is unaware of
# it has been at floors for one whole period.
IN_FORCE_DELAY_SECONDS = CONFIRMATION_AGE_MAX_SECONDS + 2 * CLOCK_ERROR_SECONDS + PERIOD_MAX_SECONDS
# Interval between two renewals of a lease, its length, and how much longer its floors last.
LEASE_RENEWAL_INTERVAL_SECONDS = 3.0
REST_LEASE_SECONDS = 12.0
FLOOR_EXTRA_SECONDS = 1800.0
# Longest time from the first sign that a backend server is leaving to the last new work for it.
LEAVING_GRACE_SECONDS = 3.0
# How long a look-up answer may be used, and how long a request key may start a request.
LOOKUP_TTL_SECONDS = 5.0
KEY_TTL_SECONDS = 60.0
# How long the outcome of a key is remembered after the key has expired.
KEY_RETENTION_SECONDS = 120.0
