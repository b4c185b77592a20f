"""Finds the line of a JSON path, for error messages only."""

import re
from collections.abc import Iterator
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    import tree_sitter

_STEP_PATTERN: Final = re.compile(r'\[(?P<index>\d+)\]|\.(?P<name>[^.\[]+)')


def find_line(text: str, path: str) -> int | None:
    """Returns the line of the value at ``path``, or of its nearest parent.

    Args:
        text: JSON with comments.
        path: For example ``$.exceptions[2].reason``.

    Returns:
        A line counted from 1; None when the text has no value at all.
    """
    # Imported here, since a running process must not spend the memory that
    # the parser costs.
    import tree_sitter
    import tree_sitter_json

    parser = tree_sitter.Parser(
        tree_sitter.Language(tree_sitter_json.language()),
    )
    node = _first_value(parser.parse(text.encode()).root_node)
    if node is None:
        return None
    for step in _STEP_PATTERN.finditer(path):
        child = _child(node, step)
        if child is None:
            break
        node = child
    return node.start_point[0] + 1


def _values(node: 'tree_sitter.Node') -> Iterator['tree_sitter.Node']:
    return (child for child in node.named_children if child.type != 'comment')


def _first_value(node: 'tree_sitter.Node') -> 'tree_sitter.Node | None':
    return next(_values(node), None)


def _child(
    node: 'tree_sitter.Node',
    step: re.Match[str],
) -> 'tree_sitter.Node | None':
    if step['index'] is not None:
        members = list(_values(node))
        index = int(step['index'])
        return members[index] if index < len(members) else None
    for pair in _values(node):
        key = pair.child_by_field_name('key')
        if key is not None and _key_text(key) == step['name']:
            return pair.child_by_field_name('value')
    return None


def _key_text(key: 'tree_sitter.Node') -> str:
    return (key.text or b'').decode().strip('"')
