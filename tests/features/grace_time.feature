Feature: A planned stop ends within its grace time

  Scenario Outline: A machine is suspended while its process stops
    # Guards against requests that are cut when the platform kills a process
    # whose clock stood still in suspend: it would continue to serve although
    # its grace time is over.
    When a process that serves a request without end stops and is suspended for <suspended_ms> ms, <after_ms> ms after it was asked to
    Then it has cancelled the request before its grace time was over

    Examples:
      | suspended_ms | after_ms |
      | 0            | 1000     |
      | 1000         | 1000     |
      | 4000         | 500      |
      | 2000         | 5000     |
      | 6500         | 100      |
