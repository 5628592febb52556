Feature: The exit of an entry or a sidecar that stops

  @each.daemon_process
  Scenario: An entry stops while an operator's change is in progress
    # Guards against requests that a stopping process does not wait for.
    When an entry process stops during a change, and the store is slow
    Then the operator got the complete response to the change

  @each.daemon_service
  @each.log_lines
  Scenario: A request does not end while an entry stops
    # Guards against idle connections that are counted as interrupted.
    When an entry with a limit of 1000 ms stops, and a request hangs
    Then it has logged one request and one connection as interrupted

  Scenario: Each part of a stop could use up its limit
    # Guards against a limit that each part of a shutdown has for itself.
    When an entry with a limit of 1000 ms stops in virtual time, and a request hangs
    Then the whole stop has taken its limit and no more

  @each.daemon_process
  Scenario: An entry stops while an operator is reading a response
    # Guards against responses that count as delivered while they wait in the
    # buffers of the process, and are lost at its exit.
    When an entry process stops while an operator reads a large response slowly
    Then the operator got the complete large response

  @each.daemon_service
  Scenario: An operator sends a change after an entry has decided to exit
    # Guards against requests that a process accepts after it has decided to
    # exit, and interrupts.
    When a change is sent on an open connection of an entry that has drained
    Then the change has not been read, or it got the complete response

  @each.daemon_service
  @each.log_lines
  Scenario: An entry stops while another process waits for a configuration
    # Guards against long polls that delay an exit.
    When an entry stops while another process waits for a configuration
    Then the other process got a response, and its connection was not cut

  @each.daemon_service
  Scenario: A process still has a connection after it has stopped listening
    # Guards against two processes that both own the keys of an instance: the
    # next one takes a port that it can bind as the end of the one before.
    When a listener is closed while a request runs
    Then its port is refused, and nobody can bind it before the cleanup
