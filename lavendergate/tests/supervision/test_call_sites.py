"""Tests that activities are started inside the boundary."""

import ast
import unittest
from collections.abc import Iterator
from pathlib import Path
from types import MappingProxyType

import lavendergate

_PACKAGE = Path(lavendergate.__file__).parent

_LISTENERS = frozenset(('create_tcp_listener', 'start_server', 'create_server'))
_STARTS = frozenset(('create_task_group', 'start_soon', 'start'))
_BOUNDARY_METHODS = frozenset(('run', 'keep_running'))

_JOINED = 'its caller waits for the children and is inside the boundary'
_RESTARTED = 'an error restarts the work on all groups (keep_running)'
_GUARDED = 'the tasks that it is given are guarded'
_CONTAINED = 'each child contains its own errors'
_LOG = 'a node that does not know what is durable must not go on'
_ROLE = 'the root of the process; what it starts is inside the boundary'

# Call sites outside the boundary, by module and function, with the reason.
_EXCEPTIONS = MappingProxyType(
    {
        ('supervision/listener.py', 'run'): 'accept contains its errors',
        ('frontend/server.py', 'start'): (
            'asyncio reports the errors of a connection and of accept to the '
            'handler of the loop, and goes on'
        ),
        ('daemon/hosted_process.py', 'run'): _ROLE,
        ('daemon/listening.py', 'serve_aside'): _JOINED,
        ('daemon/hosted_proxy.py', '_listen'): _ROLE,
        ('daemon/hosted_proxy.py', 'run_proxy'): _ROLE,
        ('daemon/hosted_control.py', '_start_node'): _LOG,
        ('daemon/hosted_control.py', 'run'): _JOINED,
        ('daemon/hosted_control.py', 'run_control'): _ROLE,
        ('daemon/control_operations.py', 'start'): _ROLE,
        ('daemon/control.py', 'start'): _LOG,
        ('daemon/process.py', 'run_daemon'): _ROLE,
        ('daemon/process.py', '_wait_for_stop'): 'the process ends after it',
        ('daemon/drain.py', 'run'): 'the process ends after it',
        ('platform/callers.py', 'serve_callers'): _CONTAINED,
        ('rpc/relay_stream.py', 'run'): 'runs inside the listener',
        ('rpc/relay_stream.py', '_read_requests'): _CONTAINED,
        ('rpc/relay_stream.py', '_connect'): _GUARDED,
        ('rpc/relay_stream.py', 'disconnect'): _GUARDED,
        ('controllers/consensus.py', '_run_until_write_fails'): _LOG,
        ('controllers/consensus.py', '_send'): _CONTAINED,
        ('controllers/consensus.py', '_start_snapshot'): _LOG,
        ('controllers/control_group/silence_exchange.py', '_report'): _JOINED,
        ('controllers/control_sync.py', '_ask_any'): _JOINED,
        ('controllers/failover.py', '_lead'): _RESTARTED,
        ('controllers/failover.py', '_step'): _RESTARTED,
        ('controllers/group_formation.py', 'leave'): _JOINED,
        ('controllers/group_formation.py', '_create_group'): _JOINED,
        ('controllers/group_formation.py', '_request_join'): _JOINED,
        ('controllers/member_poller.py', 'run'): _CONTAINED,
        ('controllers/member_poller.py', '_start_polling'): _CONTAINED,
        ('controllers/membership.py', 'run'): _JOINED,
        ('controllers/positions.py', '_ask_other_members'): _JOINED,
        ('controllers/read_index.py', '_run_round'): _JOINED,
        ('controllers/shares.py', '_close_retired'): _JOINED,
        ('controllers/shares.py', '_check_members'): _JOINED,
        ('controllers/takeover.py', 'run'): _GUARDED,
        ('controllers/takeover.py', '_commit_proved_order'): _JOINED,
        ('controllers/takeover.py', '_resume_replicas'): _JOINED,
        ('controllers/takeovers/promotion_proof.py', 'ask_absent'): _JOINED,
        ('controllers/takeovers/promotion_proof.py', 'find_resumed'): _JOINED,
        ('controllers/takeovers/promotion_proof.py', 'gather'): _JOINED,
        ('filters/relays/home.py', 'end_transactions'): _CONTAINED,
    }
)


def _functions(tree: ast.AST, name: str = '') -> Iterator[tuple[str, ast.Call]]:
    """Return all calls with the name of the function that makes them."""
    for child in ast.iter_child_nodes(tree):
        inner = name
        if isinstance(child, (ast.FunctionDef, ast.AsyncFunctionDef)):
            inner = child.name
        if isinstance(child, ast.Call):
            yield inner, child
        yield from _functions(child, inner)


def _is_guarded(call: ast.Call, source: str) -> bool:
    """Return whether a start hands its activity to the boundary."""
    if ast.unparse(call.func).endswith('create_task_group'):
        return False
    first = call.args[0] if call.args else None
    if isinstance(first, ast.Attribute) and first.attr in _BOUNDARY_METHODS:
        return 'boundary' in ast.unparse(first.value)
    return 'TaskGroup' not in source and 'TaskStarter' in source


def _unguarded(path: Path) -> Iterator[str]:
    """Return the functions of a module with starts outside the boundary."""
    source = path.read_text()
    for function, call in _functions(ast.parse(source)):
        called = call.func
        if ast.unparse(called) == 'partial':
            called = call.args[0]
        if not isinstance(called, ast.Attribute):
            continue
        receiver = ast.unparse(called.value)
        is_listener = called.attr in _LISTENERS or (
            called.attr == 'serve' and 'listener' in receiver
        )
        is_start = called.attr == 'create_task_group' or (
            called.attr in _STARTS
            and ('tasks' in receiver or called.attr == 'start_soon')
        )
        if is_listener or (is_start and not _is_guarded(call, source)):
            yield function


class CallSiteTest(unittest.TestCase):
    """All modules of the package."""

    def test_all_starts_are_inside_the_boundary(self) -> None:
        """Guards against a new activity whose error ends the process."""
        found = {
            (path.relative_to(_PACKAGE).as_posix(), function)
            for path in _PACKAGE.rglob('*.py')
            if 'tests' not in path.relative_to(_PACKAGE).parts
            for function in _unguarded(path)
        }
        self.assertEqual(
            found - _EXCEPTIONS.keys(),
            set(),
            'start these inside the boundary (Boundary.run, keep_running, '
            'GuardedTasks, Listener), or list them with the reason',
        )
        self.assertEqual(
            _EXCEPTIONS.keys() - found,
            set(),
            'these are inside the boundary: remove them from the list',
        )
