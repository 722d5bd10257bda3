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
        waiting_max=document.read_number("placing", "waiting_max", 0, 10_000, 0),
    )
    document.check_all_read()
    return result


def _read_domains(document: ini.Document) -> dict[ids.DomainName, ids.RegionName]:
    domains = {}
    for name in document.list_sections("domain"):
        region = document.read_text(f"domain {name}", "region")
        domains[ids.DomainName(name)] = ids.RegionName(region)
    return domains


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
