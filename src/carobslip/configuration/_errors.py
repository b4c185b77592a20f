"""Errors in documents that operators write."""


class InvalidDocument(Exception):
    """A refused document, with the position of its first fault.

    Attributes:
        source: File name or address the document came from.
        line: Line of the fault, counted from 1; None when unknown.
        path: JSON path of the fault, for example ``$.defaults.timeout_ms``.
        fault: What is wrong, as a sentence.
    """

    def __init__(
        self,
        *,
        source: str,
        line: int | None,
        path: str,
        fault: str,
    ) -> None:
        super().__init__(source, line, path, fault)
        self.source = source
        self.line = line
        self.path = path
        self.fault = fault

    def __str__(self) -> str:
        line = '?' if self.line is None else self.line
        return f'{self.source}:{line}: {self.path}: {self.fault}'
