Feature: What became of the requests of a soak of gateways

  Scenario: An engine crashes under another name than it began a stream
    # Guards against a stream that is blamed on a gateway after its engine has
    # crashed.
    Given a stream of an engine that another name replaces while it runs
    When the engine crashes
    Then the stream counts as broken_by_upstream

  Scenario: An engine that got another name goes on
    # Guards against a stream that a gateway cuts and that a new name excuses.
    Given a stream of an engine that another name replaces while it runs
    When the connection of the stream is closed
    Then the stream counts as cut_by_stop

  Scenario Outline: A caller resumes a stream without naming its beginning
    # Guards against joined streams of callers who send no Resumes.
    When a caller of bursts resumes a stream of v1 and gets events of <version>
    Then the resumption counts as <verdict>

    Examples:
      | version | verdict  |
      | v1      | answered |
      | v2      | joined   |
