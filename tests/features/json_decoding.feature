Feature: Unreadable JSON of other processes is reported in one way

  Scenario Outline: A decoder of <message> is given <text>
    # Guards against work that never ends because a decoder raised an error that
    # nobody expects.
    When the decoder of <message> is given <text>
    Then it reports the text as unreadable

    Examples:
      | message             | text                         |
      | a run of pieces     | deeply nested values         |
      | a report            | deeply nested values         |
      | results of a peer   | deeply nested values         |
      | an update of a peer | deeply nested values         |
      | a configuration     | deeply nested values         |
      | a page of the store | deeply nested values         |
      | a page of the store | a value not Base64           |
      | a report            | an integer too large         |
      | an update of a peer | an integer too large         |
      | a configuration     | an integer too large         |
      | a page of the store | an integer too large         |
      | results of a peer   | a float too large            |
      | an assignment       | 63 ranges                    |
      | an assignment       | 65 ranges                    |
      | an assignment       | an epoch too large           |
      | an assignment       | a start in the future        |
      | an assignment       | a member of the future       |
      | an assignment       | an owner that is no member   |
      | a manifest          | a generation too large       |
      | a manifest          | a file of a later generation |

  Scenario Outline: A command of an operator reads <what>, deeply nested
    # Guards against commands that end with a traceback for one unreadable line
    # or answer.
    When a command of an operator reads <what>, deeply nested
    Then it reports the text as unreadable

    Examples:
      | what                   |
      | an answer of a gateway |
      | an answer of an entry  |
      | a line of a log        |

  Scenario: Numbers of any size in any text
    # Guards against numbers that are valid JSON and overflow arithmetic, and
    # against messages that are rejected for digits inside a string.
    Then a number that does not fit into 64 bits is unreadable, others are not
    And strings of digits and exponents are read as they are
    And any JSON that is passed on as it came is not judged
