"""Settings of one instance, from flags and environment variables."""

import ast
import collections.abc
import inspect
import itertools
import pathlib
import textwrap
import types
import typing

import attrs
import banyanbank_base as base
from returns import result

from banyanbank_daemon import _setting_parsers

ENVIRONMENT_PREFIX = "BANYANBANK_"
"""Environment variables are this and the flag's name in capitals."""

COMMAND_LINE_VARIABLES = frozenset(
    {"TOKEN_FILE", "SERVER", "KEY_FILE", "ENTRY"}
)
"""Variables of the `banyanbank` command line, which are no settings."""

LOG_FORMATS = ("json", "readable")
"""Known log formats."""

LOG_LEVELS = ("TRACE", "DEBUG", "INFO", "SUCCESS", "WARNING", "ERROR")
"""Known log levels."""


@attrs.frozen
class SettingProblem:
    """One thing that is wrong with the settings."""

    name: str
    """The flag's name without dashes in front."""
    message: str
    """What is wrong."""
    mend: str
    """What to do."""

    def __str__(self) -> str:
        return f"--{self.name}: {self.message} {self.mend}"


@attrs.frozen
class SettingsError:
    """All that is wrong with the settings."""

    problems: tuple[SettingProblem, ...]
    """At least one, in the order of the fields."""

    def __str__(self) -> str:
        lines = [str(problem) for problem in self.problems]
        return "\n".join(["The settings are not usable:", *lines])


def _choice(*choices: str) -> collections.abc.Callable[[str], str]:
    def parse(text: str) -> str:
        if text in choices:
            return text
        raise _setting_parsers.BadValueError(
            f"{_setting_parsers.shown(text)} is not known.",
            f"Give one of {', '.join(choices)}.",
        )

    return parse


@attrs.frozen(kw_only=True)
class Settings:
    """What an instance must know before it can ask others."""

    instance_id: base.InstanceId
    """Name of this instance; stable over restarts."""
    failure_domain: base.FailureDomain
    """Failure domain of the machine."""
    listen_host: str = "127.0.0.1"
    """IP number that all listeners bind."""
    caller_port: int = 8700
    """TCP port for callers and endpoints; 0 lets the system choose."""
    mesh_port: int = 8701
    """TCP port for other instances; 0 lets the system choose."""
    operator_port: int = 8702
    """TCP port for operators and metrics; 0 lets the system choose."""
    advertised_host: str | None = None
    """IP number told to other instances; None for `listen_host`."""
    mesh_source_host: str | None = None
    """IP number to reach other instances from; None: the system chooses."""
    voters: tuple[_setting_parsers.Voter, ...]
    """Initial voter set; every instance asks these first."""
    data_dir: pathlib.Path | None = None
    """Folder of the replicated log; None when this instance is no voter."""
    operator_token_file: pathlib.Path | None = None
    """File with the operators' token; None refuses all operators."""
    announce_token_file: pathlib.Path | None = None
    """File with the endpoints' announce token; None refuses all endpoints."""
    caller_tls_certificate_file: pathlib.Path | None = None
    """Certificate chain shown to callers, PEM; None for plain HTTP."""
    caller_tls_key_file: pathlib.Path | None = None
    """Private key of that certificate, PEM; None for plain HTTP."""
    mesh_tls_certificate_file: pathlib.Path | None = None
    """Certificate that names this instance, PEM; None for plain TCP."""
    mesh_tls_key_file: pathlib.Path | None = None
    """Private key of that certificate, PEM; None for plain TCP."""
    mesh_tls_authority_file: pathlib.Path | None = None
    """Certificates of the instances' CA, PEM; None for plain TCP."""
    log_format: str = "readable"
    """`json` or `readable`."""
    log_level: str = "INFO"
    """Least severe level that is logged."""
    timeline_dir: pathlib.Path | None = None
    """Folder of the time line's files; None keeps it in memory only."""
    drain_limit_s: float = 600.0
    """Seconds after which a graceful shutdown gives up waiting."""
    scale_down_after_s: float = 600.0
    """Seconds that a lower need lasts before endpoints are given back."""
    orders_url: str | None = None
    """Platform service that orders endpoints; None when there is none."""
    usage_url: str | None = None
    """Platform service that takes usage reports; None when there is none."""
    weight_store_url: str | None = None
    """Platform's weight store; None when there is none."""
    max_body_bytes: int = 8 * 1024 * 1024
    """Largest body taken from a caller."""

    @property
    def reachable_host(self) -> str:
        """IP number at which other instances reach this one."""
        return self.advertised_host or self.listen_host

    @property
    def is_voter(self) -> bool:
        """Whether this instance is in the initial voter set."""
        return any(voter.instance == self.instance_id for voter in self.voters)


_PARSERS: collections.abc.Mapping[str, collections.abc.Callable[[str], object]]
_PARSERS = types.MappingProxyType(
    {
        "instance_id": _setting_parsers.parse_name,
        "failure_domain": _setting_parsers.parse_name,
        "listen_host": _setting_parsers.parse_host,
        "caller_port": _setting_parsers.parse_port,
        "mesh_port": _setting_parsers.parse_port,
        "operator_port": _setting_parsers.parse_port,
        "advertised_host": _setting_parsers.parse_host,
        "mesh_source_host": _setting_parsers.parse_host,
        "voters": _setting_parsers.parse_voters,
        "data_dir": _setting_parsers.parse_path,
        "operator_token_file": _setting_parsers.parse_secret_file,
        "announce_token_file": _setting_parsers.parse_secret_file,
        "caller_tls_certificate_file": _setting_parsers.parse_file,
        "caller_tls_key_file": _setting_parsers.parse_secret_file,
        "mesh_tls_certificate_file": _setting_parsers.parse_file,
        "mesh_tls_key_file": _setting_parsers.parse_secret_file,
        "mesh_tls_authority_file": _setting_parsers.parse_file,
        "log_format": _choice(*LOG_FORMATS),
        "log_level": _choice(*LOG_LEVELS),
        "timeline_dir": _setting_parsers.parse_path,
        "drain_limit_s": _setting_parsers.parse_seconds,
        "scale_down_after_s": _setting_parsers.parse_seconds,
        "orders_url": _setting_parsers.parse_url,
        "usage_url": _setting_parsers.parse_url,
        "weight_store_url": _setting_parsers.parse_url,
        "max_body_bytes": _setting_parsers.parse_size,
    }
)


def flag_names() -> tuple[str, ...]:
    """Returns the names of all settings, with underscores."""
    return tuple(field.name for field in attrs.fields(Settings))


def flag_help() -> dict[str, str]:
    """Returns what each setting holds, from the text below its field."""
    tree = ast.parse(textwrap.dedent(inspect.getsource(Settings)))
    (definition,) = tree.body
    assert isinstance(definition, ast.ClassDef)
    texts = {}
    for field, text in itertools.pairwise(definition.body):
        if isinstance(field, ast.AnnAssign) and isinstance(text, ast.Expr):
            name = ast.unparse(field.target)
            texts[name] = inspect.cleandoc(ast.literal_eval(text.value))
    return texts


def read_settings(
    flags: collections.abc.Mapping[str, str],
    environment: collections.abc.Mapping[str, str],
) -> result.Result[Settings, SettingsError]:
    """Reads and checks the settings; a flag goes before its variable.

    Args:
        flags: Texts by field name.
        environment: Environment variables of the process.

    Returns:
        The settings, or everything that is wrong with them.
    """
    texts, problems = _collect(flags, environment)
    values: dict[str, typing.Any] = {}
    for field in attrs.fields(Settings):
        text = texts.get(field.name)
        if text is None:
            if field.default is attrs.NOTHING:
                problems.append(_missing(field.name))
            continue
        try:
            values[field.name] = _parse(field.name, text)
        except _setting_parsers.BadValueError as exc:
            problems.append(_problem(field.name, exc.message, exc.mend))
    if problems:
        return result.Failure(SettingsError(tuple(problems)))
    settings = Settings(**values)
    problems = list(_check_together(settings))
    if problems:
        return result.Failure(SettingsError(tuple(problems)))
    return result.Success(settings)


def _collect(
    flags: collections.abc.Mapping[str, str],
    environment: collections.abc.Mapping[str, str],
) -> tuple[dict[str, str], list[SettingProblem]]:
    known = set(flag_names())
    problems = [_unknown(name) for name in sorted(set(flags) - known)]
    texts: dict[str, str] = {}
    for variable, text in sorted(environment.items()):
        if not variable.startswith(ENVIRONMENT_PREFIX):
            continue
        short = variable.removeprefix(ENVIRONMENT_PREFIX)
        if short in COMMAND_LINE_VARIABLES:
            continue
        if short.lower() in known and short == short.upper():
            texts[short.lower()] = text
        else:
            problems.append(_unknown_variable(variable))
    texts.update({name: flags[name] for name in known & set(flags)})
    return texts, problems


def _parse(name: str, text: str) -> object:
    if len(text) > _setting_parsers.MAX_TEXT_CHARS:
        raise _setting_parsers.BadValueError(
            "The text is too long.", "Shorten it."
        )
    return _PARSERS[name](text)


def _check_together(
    settings: Settings,
) -> collections.abc.Iterator[SettingProblem]:
    if settings.is_voter and settings.data_dir is None:
        yield _problem(
            "data_dir",
            f"{settings.instance_id!r} is a voter without a data folder.",
            "Give a folder on a disk, or take it out of --voters.",
        )
    if settings.reachable_host in ("0.0.0.0", "::"):
        yield _problem(
            "advertised_host",
            "Others cannot reach an unspecified address.",
            "Give the IP number of this machine.",
        )
    yield from _check_ports(settings)
    yield from _check_complete(
        "caller_tls",
        settings.caller_tls_certificate_file,
        settings.caller_tls_key_file,
    )
    yield from _check_complete(
        "mesh_tls",
        settings.mesh_tls_certificate_file,
        settings.mesh_tls_key_file,
        settings.mesh_tls_authority_file,
    )


def _check_ports(
    settings: Settings,
) -> collections.abc.Iterator[SettingProblem]:
    ports = [settings.caller_port, settings.mesh_port, settings.operator_port]
    chosen = [port for port in ports if port]
    if len(set(chosen)) < len(chosen):
        yield _problem(
            "mesh_port",
            "Two listeners share a port.",
            "Give --caller-port, --mesh-port and --operator-port apart.",
        )


def _check_complete(
    group: str, *files: pathlib.Path | None
) -> collections.abc.Iterator[SettingProblem]:
    given = [file for file in files if file is not None]
    if given and len(given) < len(files):
        yield _problem(
            f"{group}_certificate_file",
            "Some TLS files are missing.",
            f"Give all the files --{group.replace('_', '-')}-…, or none.",
        )


def _problem(name: str, message: str, mend: str) -> SettingProblem:
    return SettingProblem(name.replace("_", "-"), message, mend)


def _missing(name: str) -> SettingProblem:
    variable = ENVIRONMENT_PREFIX + name.upper()
    return _problem(
        name, "A value is needed.", f"Give the flag or set {variable}."
    )


def _unknown(name: str) -> SettingProblem:
    return _problem(
        name[:40],
        "No such flag.",
        "See --help; secrets come only from files.",
    )


def _unknown_variable(variable: str) -> SettingProblem:
    return SettingProblem(
        variable[:60],
        "No setting has this environment variable.",
        "Unset it or correct its name; secrets come only from files.",
    )
