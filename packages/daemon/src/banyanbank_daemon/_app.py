"""Runs one instance until it is told to stop."""

import random
import signal
import sys
import typing

import banyanbank_base as base
import banyanbank_consensus as consensus
from loguru import logger
from twisted.internet import defer

from banyanbank_daemon import _background
from banyanbank_daemon import _instance
from banyanbank_daemon import _logs
from banyanbank_daemon import _parts
from banyanbank_daemon import _secrets
from banyanbank_daemon import _settings
from banyanbank_daemon import _timeline
from banyanbank_daemon import _tls

EXIT_FAILED = 1


def run(settings: _settings.Settings) -> None:
    """Runs the reactor with one instance; returns after its shutdown."""
    from twisted.internet import reactor

    redactor = _logs.Redactor()
    secrets = _secrets.read_secrets(settings)
    for secret in (secrets.operator_token, secrets.announce_token):
        if secret:
            redactor.add(secret)
    _logs.configure(
        sys.stderr,
        settings.log_format,
        settings.log_level,
        settings.instance_id,
        redactor,
    )
    process = _Process(settings, secrets, reactor)
    reactor_any: typing.Any = reactor
    reactor_any.callLater(0, process.start)
    reactor_any.run(installSignalHandlers=False)
    if process.has_failed:
        raise SystemExit(EXIT_FAILED)


class _Process:
    """The one instance of this process, and its signals."""

    def __init__(
        self,
        settings: _settings.Settings,
        secrets: _secrets.Secrets,
        reactor: typing.Any,
    ) -> None:
        self._reactor = reactor
        self.has_failed = False
        self._instance = _instance.Instance(
            settings, self._surroundings(settings), secrets
        )

    def start(self) -> None:
        signal.signal(signal.SIGTERM, self._on_signal)
        signal.signal(signal.SIGINT, self._on_signal)
        starting = defer.ensureDeferred(self._instance.start())
        starting.addCallbacks(self._started, self._failed)

    def _surroundings(
        self, settings: _settings.Settings
    ) -> _parts.Surroundings:
        clock = base.SystemClock()
        files = None
        if settings.timeline_dir is not None:
            files = _timeline.EventFiles(settings.timeline_dir)
        recorder = _timeline.Timeline(settings.instance_id, clock, files=files)
        disk = None
        if settings.data_dir is not None:
            disk = consensus.FileDisk(settings.data_dir)
        return _parts.Surroundings(
            reactor=self._reactor,
            clock=clock,
            rng=random.Random(),
            recorder=recorder,
            disk=disk,
            mesh_tls=_mesh_certificates(settings, recorder),
            caller_tls=_caller_certificates(settings, recorder),
            on_failed=self._fail_log,
            on_drained=self._reactor.stop,
        )

    def _started(self, _result: None) -> None:
        listeners = self._instance.listeners
        logger.info(
            "serves callers on port {}, operators on port {}",
            listeners.caller_port,
            listeners.operator_port,
        )

    def _failed(self, failure: typing.Any) -> None:
        self.has_failed = True
        if failure.check(_instance.InstanceError):
            logger.error("{}", failure.getErrorMessage())
        else:
            logger.error("{}", failure.getTraceback())
        self._reactor.stop()

    def _fail_log(self) -> None:
        # Whoever supervises the process starts it anew, on another disk.
        self.has_failed = True
        self._drain()

    def _on_signal(self, number: int, _frame: object) -> None:
        logger.info("signal {}: draining", signal.Signals(number).name)
        self._reactor.callFromThread(self._drain)

    def _drain(self) -> None:
        _background.start(self._instance.drain(), "drain")


def _mesh_certificates(
    settings: _settings.Settings, recorder: base.Recorder
) -> _tls.MeshCertificates | None:
    certificate = settings.mesh_tls_certificate_file
    private_key = settings.mesh_tls_key_file
    if certificate is None or private_key is None:
        return None
    files = _tls.TlsFiles(
        certificate, private_key, settings.mesh_tls_authority_file
    )
    return _tls.MeshCertificates(settings.instance_id, files, recorder)


def _caller_certificates(
    settings: _settings.Settings, recorder: base.Recorder
) -> _tls.CallerCertificates | None:
    certificate = settings.caller_tls_certificate_file
    private_key = settings.caller_tls_key_file
    if certificate is None or private_key is None:
        return None
    files = _tls.TlsFiles(certificate, private_key)
    return _tls.CallerCertificates(files, recorder)
