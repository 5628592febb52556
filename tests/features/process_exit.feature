@each.gateway_process
Feature: The exit of a process that stops

  Scenario: A caller sends a request while the stopping process leaves the store
    # Guards against requests that a process accepts after it has decided to
    # exit: they run at an upstream, and their callers get no response.
    When a gateway process stops, and the store is slow to remove its record
    And a request is sent on a connection that has stayed open
    Then the request has not run, or its caller got the complete response

  Scenario: A caller is still reading its response when nothing else is in flight
    # Guards against responses that count as delivered while they wait in the
    # buffers of the process, and are lost at its exit.
    When a gateway process stops while a caller reads a large response slowly
    Then the caller got the complete response before the process ended

  Scenario: A caller never reads its response
    # Guards against a stop that one caller holds up until the process is
    # killed, and against lost responses without a line in the log.
    When a gateway process stops while a caller reads nothing
    Then it has stopped gracefully, and logged 1 open connections

  Scenario: A caller has sent half of a body when the stop reaches its limit
    # Guards against requests that get no response because their body, or the
    # first configuration, is awaited outside of what the limit ends.
    When a gateway process stops while a caller sends half of a body
    Then the caller was told that the request has not run

  Scenario Outline: <loops> loops fail, and the platform sends <signals> signals
    # Guards against requests that are cut because a process that stops by
    # itself takes a first signal of the platform for a second one.
    When <loops> loops of a gateway process fail at its start
    And it gets SIGTERM <signals> times
    Then it has stopped gracefully

    Examples:
      | loops | signals |
      | 1     | 0       |
      | 2     | 0       |
      | 1     | 1       |
