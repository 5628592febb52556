"""
Parse numbers in text that other processes have sent.

`int` refuses to convert more than 4,300 digits, and accepts digits of other
scripts; `float` accepts infinity and values that overflow later arithmetic.
"""

import math

# Fits counts, ports and durations of up to 30 years in milliseconds.
_MAX_DIGITS = 12
_MAX_DECIMAL = 10**_MAX_DIGITS
# The sign, the exponent and the fraction.
_MAX_DECIMAL_CHARS = 64


def parse_count(text: str) -> int | None:
    """
    Parse a count.

    Parameters
    ----------
    text : str
        The text, which may have blanks around it.

    Returns
    -------
    int or None
        The count; None if the text is anything but ASCII digits, or more of
        them than any count needs.
    """
    digits = text.strip()
    is_count = digits.isascii() and digits.isdecimal()
    if not is_count or len(digits) > _MAX_DIGITS:
        return None
    return int(digits)


def parse_decimal(text: str) -> float | None:
    """
    Parse a decimal number.

    Parameters
    ----------
    text : str
        The text, which may have blanks around it.

    Returns
    -------
    float or None
        The number; None if the text is no number, or one that is not finite
        or larger than any measurement.
    """
    if len(text) > _MAX_DECIMAL_CHARS:
        return None
    try:
        decimal = float(text)
    except ValueError:
        return None
    is_bounded = math.isfinite(decimal) and abs(decimal) <= _MAX_DECIMAL
    return decimal if is_bounded else None
