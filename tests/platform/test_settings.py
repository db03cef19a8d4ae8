"""Tests of the settings file that the platform writes."""

from __future__ import annotations

import json
from pathlib import Path

import yaml
from tests.platform.conftest import SETTINGS

from lagoonpulley.owner.settings import ShareSettings
from lagoonpulley.platform.settings import read_settings

ROOT = Path(__file__).resolve().parents[2]


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


def test_settings_of_a_deployment_stand_beside_those_of_the_process(tmp_path):
    process = yaml.safe_load(SETTINGS)
    path = tmp_path / "boot.json"
    shares = {"half_life_s": 3600.0}
    path.write_text(json.dumps({"process": process, "shares": shares}))
    settings = read_settings(str(path)).ok
    assert settings.entry_id == "edge-1"
    assert settings.shares == ShareSettings(3600.0, 1.0)


def test_settings_error_names_an_invalid_share(tmp_path):
    process = yaml.safe_load(SETTINGS)
    path = tmp_path / "boot.json"
    shares = {"half_life_s": 0}
    path.write_text(json.dumps({"process": process, "shares": shares}))
    assert "half_life_s" in read_settings(str(path)).error


def test_deployment_template_is_json_around_the_settings_of_the_process():
    text = (ROOT / "deploy" / "boot.json").read_text().replace("{{.|json}}", "{}")
    assert json.loads(text)["process"] == {}
