Feature: The log tells when the event loop stood still, and in which step

  @fixture.log_lines
  Scenario: A step keeps the loop busy
    # Guards against requests that are late at a whole gateway, for a reason that
    # nothing in its log shows.
    Given a loop that is monitored
    When one step computes for 600 ms of processor time
    Then one stall is logged and counted, of at least 250 ms
    And at least 250 ms of it were processor time, spent in that step
    And that step was logged before the stall ended

  @fixture.log_lines
  Scenario: A step blocks without computing
    # Guards against a process that waits for a file or was stopped, and looks
    # like one that computes.
    Given a loop that is monitored
    When one step sleeps for 600 ms without giving way
    Then one stall is logged and counted, of at least 250 ms
    And less than half of it was processor time

  @fixture.log_lines
  Scenario: The platform has no timer for samples
    # Guards against a gateway that does not start where a timer is refused.
    Given a loop that is monitored where timers are refused
    When one step sleeps for 600 ms without giving way
    Then one stall is logged and counted, of at least 250 ms
    And the log tells that the loop is not sampled

  @fixture.log_lines
  Scenario: Nothing keeps the loop busy
    # Guards against a log full of stalls that are none.
    Given a loop that is monitored
    When it only waits for 5 checks
    Then no stall of processor time is logged

  @fixture.gateway_process
  Scenario: A gateway process relays streams without the end of an event
    # Guards against a stream whose bytes are processed again and again while
    # all other requests of its gateway wait.
    When callers post to /safe/answer while 3 streams send 1 MB each in chunks of 64 bytes
    Then all of their requests are answered
    And its log has no stall of processor time

  @fixture.gateway_process
  Scenario: The log tells which build and which libraries run
    # Guards against a failure of one installation that cannot be told from one
    # of an earlier build, or of other libraries.
    Then the line of its start has the build, the version of Python, the event loop, the HTTP parser and the libraries

  Scenario: The digest of a build
    # Guards against two builds that have the same name.
    Then a folder with a digest is described by it, one without as unknown
