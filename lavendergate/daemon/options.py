"""Options of the daemon, validated before anything starts."""

import re
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from pydantic.functional_validators import AfterValidator
from result import Err, Ok, Result

ENVIRONMENT_PREFIX = 'LAVENDERGATE_'

_ADDRESS = re.compile(r'(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})')
_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,62}')
_AUTH_STRING = re.compile(r'\*[0-9A-Fa-f]{40}')
_MAX_PORT = 65535
_ROLES = frozenset(('proxy', 'control'))


def _check_address(text: str) -> str:
    match = _ADDRESS.fullmatch(text)
    if match is None or int(match.group(2)) > _MAX_PORT:
        raise ValueError('expected ip:port, for example 127.0.0.1:6033')
    return text


def _check_name(text: str) -> str:
    if _NAME.fullmatch(text) is None:
        raise ValueError(
            'expected 1 to 63 letters, digits, dots, hyphens or underscores, '
            'beginning with a letter or digit'
        )
    return text


Address = Annotated[str, AfterValidator(_check_address)]
Name = Annotated[str, AfterValidator(_check_name)]


class DaemonOptions(BaseModel):
    """Options of one daemon.

    Attributes
    ----------
    callers
        Auth string (``mysql_native_password``) by caller name.
    drain_delay_s
        Time for which a stopping proxy still accepts callers, in seconds.
    drain_limit_s
        Time limit of the drain, in seconds.
    """

    model_config = ConfigDict(frozen=True, extra='forbid')

    host_id: Name
    roles: frozenset[str]
    region: Name
    failure_domain: Name
    listen: Address | None = None
    rpc_listen: Address
    health_listen: Address | None = None
    control: tuple[Address, ...] = Field(min_length=1)
    data_directory: str
    drain_delay_s: float = Field(default=2, ge=0, le=300)
    drain_limit_s: float = Field(default=30, ge=1, le=3600)
    statsd: Address | None = None
    tls_certificate: Path | None = None
    tls_key: Path | None = None
    peer_certificate: Path | None = None
    peer_key: Path | None = None
    peer_authority: Path | None = None
    callers: Mapping[str, str] = Field(default_factory=dict, repr=False)
    upstream_user: str = ''
    upstream_password: str = Field(default='', repr=False)
    admin_user: str = ''
    admin_password: str = Field(default='', repr=False)
    announce_key: str = Field(default='', repr=False)


def read_options(
    flags: Mapping[str, object], environment: Mapping[str, str]
) -> Result[DaemonOptions, tuple[str, ...]]:
    """Validate flags and environment variables.

    Returns
    -------
    result.Result
        The options, or one message for each fault, with the value and how to
        correct it.
    """
    fields = {**_from_environment(environment), **_drop_unset(flags)}
    faults = list(_split_lists(fields))
    try:
        options = DaemonOptions.model_validate(fields)
    except ValidationError as error:
        faults.extend(_describe_fault(item) for item in error.errors())
        faults.extend(_role_faults(fields.get('roles')))
        return Err(tuple(faults))
    faults.extend(_combination_faults(options))
    return Err(tuple(faults)) if faults else Ok(options)


def _from_environment(environment: Mapping[str, str]) -> dict[str, object]:
    return {
        name: environment[ENVIRONMENT_PREFIX + name.upper()]
        for name in DaemonOptions.model_fields
        if environment.get(ENVIRONMENT_PREFIX + name.upper())
    }


def _drop_unset(flags: Mapping[str, object]) -> dict[str, object]:
    return {
        name: value for name, value in flags.items() if value not in {None, ''}
    }


def _split_lists(fields: dict[str, object]) -> list[str]:
    faults = []
    for name in ('roles', 'control'):
        if isinstance(fields.get(name), str):
            fields[name] = _split_at_commas(str(fields[name]))
    callers = {}
    for entry in _split_at_commas(str(fields.pop('callers', ''))):
        caller, _, auth_string = entry.partition('=')
        if _AUTH_STRING.fullmatch(auth_string) is None:
            # The auth string is a credential, so the message omits it.
            faults.append(
                f'LAVENDERGATE_CALLERS: the entry of caller {caller!r} has '
                'no auth string of * and 40 hex digits; take it from '
                "SELECT CONCAT('*', UPPER(SHA1(UNHEX(SHA1('password')))))"
            )
        callers[caller] = auth_string
    fields['callers'] = callers
    return faults


def _split_at_commas(text: str) -> list[str]:
    return [item.strip() for item in text.split(',') if item.strip()]


def _describe_fault(item: object) -> str:
    if not isinstance(item, dict):
        return str(item)
    name = str(item['loc'][0]) if item['loc'] else 'options'
    flag = f'--{name.replace("_", "-")}'
    variable = ENVIRONMENT_PREFIX + name.upper()
    if item['type'] == 'missing':
        return f'{flag} is missing; give the flag or set {variable}'
    message = str(item['msg']).removeprefix('Value error, ')
    return f'{flag} has the value {item["input"]!r}: {message}'


def _combination_faults(options: DaemonOptions) -> list[str]:
    faults = []
    faults.extend(_role_faults(options.roles))
    if 'proxy' in options.roles:
        faults.extend(_proxy_faults(options))
    faults.extend(_tls_faults(options))
    if not options.announce_key:
        faults.append(
            'LAVENDERGATE_ANNOUNCE_KEY is missing; set the key that the '
            "upstreams' agents sign their announcements with"
        )
    if 'control' in options.roles and not options.admin_user:
        faults.append(
            'LAVENDERGATE_ADMIN_USER is missing; the control role needs the '
            "administrator's account on the upstreams"
        )
    return faults


def _role_faults(roles: object) -> list[str]:
    if not isinstance(roles, list | frozenset):
        return []
    if roles and _ROLES.issuperset(roles):
        return []
    return [
        f'--roles has the value {",".join(sorted(roles))!r}: expected proxy, '
        'control or proxy,control'
    ]


def _tls_faults(options: DaemonOptions) -> list[str]:
    callers = (options.tls_certificate, options.tls_key)
    peers = (
        options.peer_certificate,
        options.peer_key,
        options.peer_authority,
    )
    faults = [
        f'{path} does not exist; check the TLS options'
        for path in (*callers, *peers)
        if path is not None and not path.is_file()
    ]
    if any(callers) and not all(callers):
        faults.append('give both --tls-certificate and --tls-key, or neither')
    if any(peers) and not all(peers):
        faults.append(
            'give --peer-certificate, --peer-key and --peer-authority, or none'
        )
    return faults


def _proxy_faults(options: DaemonOptions) -> list[str]:
    faults = []
    if options.listen is None:
        faults.append(
            '--listen is missing; the proxy role needs an ip:port for callers'
        )
    if not options.callers:
        faults.append(
            'LAVENDERGATE_CALLERS is missing; without it no caller can log in'
        )
    if not options.upstream_user:
        faults.append(
            'LAVENDERGATE_UPSTREAM_USER is missing; set the account for '
            'statements on the upstreams'
        )
    return faults
