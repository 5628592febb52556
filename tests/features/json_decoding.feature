Feature: Unreadable JSON of other processes is reported in one way

  Scenario Outline: A decoder of <message> is given <text>
    # Guards against work that never ends because a decoder raised an error that
    # nobody expects.
    When the decoder of <message> is given <text>
    Then it reports the text as unreadable

    Examples:
      | message                   | text                 |
      | a run of pieces           | deeply nested values |
      | a report                  | deeply nested values |
      | results of a peer         | deeply nested values |
      | an update of a peer       | deeply nested values |
      | a configuration           | deeply nested values |
      | a page of the store       | deeply nested values |
      | a page of the store       | a value not Base64   |
