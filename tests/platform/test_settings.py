"""Tests of the settings file that the platform writes."""

from __future__ import annotations

from lagoonpulley.platform.settings import read_settings


def test_settings_ignore_unknown_fields(settings_file):
    settings = read_settings(str(settings_file)).ok
    assert settings.entry_id == "edge-1"
    assert settings.longest_worker_lease_s == 6.0
    assert settings.retention_s == 120.0


def test_settings_without_rates_leave_them_unknown(settings_file):
    settings = read_settings(str(settings_file)).ok
    assert settings.store_writes_per_s is None
    assert settings.store_reads_per_s is None
    assert settings.link_bytes_per_s is None


def test_settings_have_the_rates_of_the_store_and_of_the_link(settings_file):
    rates = "ttlMinMs: 1000, writesPerS: 400, readsPerS: 2000"
    text = settings_file.read_text().replace("ttlMinMs: 1000", rates)
    settings_file.write_text(text + "limits: {linkMbps: 10.0, cpuShare: 0.5}\n")
    settings = read_settings(str(settings_file)).ok
    assert settings.store_writes_per_s == 400.0
    assert settings.store_reads_per_s == 2000.0
    assert settings.link_bytes_per_s == 1_250_000.0


def test_settings_error_names_the_invalid_field(settings_file):
    text = settings_file.read_text().replace('node: "edge-1"', "node: [1]")
    settings_file.write_text(text)
    assert "node" in read_settings(str(settings_file)).error


def test_settings_missing_file(tmp_path):
    assert "No such file" in read_settings(str(tmp_path / "none")).error


def test_settings_without_limits_leave_the_capacity_unknown(settings_file):
    settings = read_settings(str(settings_file)).ok
    assert settings.processors_milli == 0
    assert settings.link_mbps == 0


def test_settings_limits_give_the_capacity(settings_file):
    limits = "limits: {cpuShare: 0.717, cores: 3, linkMbps: 200.0, memoryMb: 300}\n"
    settings_file.write_text(settings_file.read_text() + limits)
    settings = read_settings(str(settings_file)).ok
    assert settings.processors_milli == 2151
    assert settings.link_mbps == 200.0
