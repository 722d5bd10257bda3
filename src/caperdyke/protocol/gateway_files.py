"""Reads the INI settings of a gateway."""

from caperdyke.protocol import ini, settings_files
from caperdyke.state import gateway_settings, ids


def read_gateway(path: str) -> gateway_settings.GatewaySettings:
    """Returns the validated settings in a file.

    :raises errors.SettingsError: if the file cannot be read or a setting is invalid.
    """
    document = ini.read_file(path)
    section = "instance"
    region = ids.RegionName(document.read_text(section, "region"))
    domain = ids.DomainName(document.read_text(section, "domain"))
    result = gateway_settings.GatewaySettings(
        instance=ids.InstanceId(document.read_text(section, "name")),
        domain=domain,
        region=region,
        caller_address=ids.Address(document.read_address("callers", "requests")),
        readiness_address=ids.Address(document.read_address("callers", "readiness")),
        lookup_address=ids.Address(document.read_address("callers", "lookups")),
        metrics_address=ids.Address(document.read_address("metrics", "address")),
        peer_address=ids.Address(document.read_address("peers", "address")),
        store_address=ids.Address(document.read_address("store", "address")),
        seeds=tuple(
            ids.Address(document.check_address("peers", "seeds", seed))
            for seed in document.read_words("peers", "seeds", "")
        ),
        domains=_read_domains(document) | {domain: region},
        bounds=_read_bounds(document),
        logs=settings_files.read_logs(document),
        cross_domain_seconds_per_megabyte=document.read_decimal(
            "placing",
            "domain_megabyte_s",
            0.0,
            1e6,
            gateway_settings.CROSS_DOMAIN_SECONDS_PER_MEGABYTE,
        ),
        backoff_seconds_max=document.read_decimal(
            "placing", "rest_max_s", 0.0, 1e6, gateway_settings.BACKOFF_SECONDS_MAX
        ),
        has_steady_weights=document.read_choice("placing", "steady_weights", ("off", "on"), "off")
        == "on",
        stay_margin_seconds=document.read_decimal("placing", "stay_margin_ms", 0.0, 10_000.0, 0.0)
        / 1000,
        overflow_ratio_max=document.read_decimal("placing", "overflow_ratio_max", 0.0, 1.0, 0.0),
        quota_tolerance=_read_quota_tolerance(document),
        load_model=gateway_settings.LoadModel(
            document.read_choice(
                "placing",
                "load_model",
                [model.value for model in gateway_settings.LoadModel],
                gateway_settings.LoadModel.REPORTED.value,
            )
        ),
        teams=_read_teams(document),
        pipelined_max=document.read_number(
            "callers", "pipelined_max", 1, 1000, gateway_settings.PIPELINED_MAX
        ),
        pipelined_bytes=document.read_number(
            "callers", "pipelined_bytes", 65536, 2**30, gateway_settings.PIPELINED_BYTES
        ),
        has_ranks=document.read_choice("placing", "ranks", ("off", "on"), "off") == "on",
        has_team_shares=document.read_choice("placing", "team_shares", ("off", "on"), "off")
        == "on",
        waiting_max=document.read_number("placing", "waiting_max", 0, 10_000, 0),
        crashes_max=document.read_number(
            "placing", "crashes_max", 0, 1000, gateway_settings.CRASHES_MAX
        ),
        heartbeat_seconds=document.read_decimal(
            "store", "heartbeat_ms", 10.0, 1e6, gateway_settings.HEARTBEAT_SECONDS * 1000
        )
        / 1000,
        memory_bytes=settings_files.read_memory(document),
        descriptors=settings_files.read_descriptors(document),
    )
    document.check_all_read()
    return result


def _read_domains(document: ini.Document) -> dict[ids.DomainName, ids.RegionName]:
    domains = {}
    for name in document.list_sections("domain"):
        region = document.read_text(f"domain {name}", "region")
        domains[ids.DomainName(name)] = ids.RegionName(region)
    return domains


def _read_teams(document: ini.Document) -> gateway_settings.TeamSettings:
    section = "teams"
    # The platform writes truth values as JSON does.
    choices = ("yes", "no", "true", "false")
    strict = document.read_choice(section, "strict_revocation", choices, "no")
    revoke_seconds_default = gateway_settings.REVOKE_SECONDS * 1000
    return gateway_settings.TeamSettings(
        strict in ("yes", "true"),
        document.read_decimal(section, "revoke_ms", 100.0, 1e6, revoke_seconds_default) / 1000,
    )


def _read_bounds(document: ini.Document) -> gateway_settings.GatewayBounds:
    section = "bounds"
    return gateway_settings.GatewayBounds(
        retry_ratio=document.read_decimal(section, "retry_ratio", 0.0, 10.0),
        retry_allowance=document.read_decimal(section, "retry_allowance", 0.0, 1e6),
        retry_window=document.read_decimal(section, "retry_window_s", 0.1, 3600.0),
        cold_factor=document.read_decimal(section, "cold_factor", 0.0, 100.0),
        cold_allowance=document.read_decimal(section, "cold_allowance", 0.0, 1e6),
        leaving_seconds=document.read_decimal(section, "leaving_ms", 100.0, 1e6) / 1000,
        lookup_seconds=document.read_decimal(section, "lookup_s", 0.1, 3600.0),
        stop_seconds=document.read_decimal(section, "stop_s", 0.5, 3600.0),
    )


def _read_quota_tolerance(document: ini.Document) -> gateway_settings.QuotaTolerance:
    section, default = "quotas", gateway_settings.QuotaTolerance()
    return gateway_settings.QuotaTolerance(
        window_s=document.read_decimal(section, "window_s", 0.1, 3600.0, default.window_s),
        overrun=document.read_decimal(section, "overrun", 0.0, 10.0, default.overrun),
        slack=document.read_decimal(section, "slack", 0.0, 1e6, default.slack),
    )
